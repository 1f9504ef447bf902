"""Tells now and then what the instance believes about the fleet."""

import asyncio
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core

#: How often the beliefs are told, in seconds.
_EVERY_S: Final = 5.0
_DIGITS: Final = 4
_THOUSAND: Final = 1000


@final
class Beliefs:
    """Writes one line of what placement goes by, with its ages."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Tell of the core."""
        self._core = core

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(_EVERY_S)
            self._tell()

    def _tell(self) -> None:
        core = self._core
        now = core.now()
        speed = core.placement.read_speed
        catalog = core.catalog.catalog
        journal.write_decision(
            'beliefs',
            version=catalog.version if catalog else None,
            age_s=round(core.find_age(now), _DIGITS),
            endpoints=len(core.roster.seats),
            instances=core.instances,
            unreachable=core.standings.unreachable(now),
            peers=core.placement.ledger.speakers,
            read_start_s=round(speed.start_s, _DIGITS),
            read_thousand_s=round(speed.token_s * _THOUSAND, _DIGITS),
            read_samples=speed.samples,
        )
