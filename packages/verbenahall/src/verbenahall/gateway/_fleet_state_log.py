"""Logs the state that placement decisions are based on at regular times."""

import asyncio
from typing import Final, final

from verbenahall import journal
from verbenahall.engine_speeds import log_factors
from verbenahall.gateway._core import Core

#: Interval between two log lines, in seconds.
_INTERVAL_S: Final = 5.0
_DECIMALS: Final = 4
_THOUSAND: Final = 1000


@final
class FleetStateLog:
    """Logs versions, ages and counts of the state that placement uses."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Log the state of this core."""
        self._core = core

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self._log_state()

    def _log_state(self) -> None:
        core = self._core
        now = core.now()
        speed = core.placement.prefill_speed
        catalog = core.catalog.catalog
        journal.write_decision(
            'beliefs',
            version=catalog.version if catalog else None,
            age_s=round(core.find_age(now), _DECIMALS),
            endpoints=len(core.roster.listings),
            instances=core.instance_count,
            unreachable=core.endpoint_health.list_unreachable(now),
            peers=core.placement.load_table.reporting_peers,
            read_start_s=round(speed.start_s, _DECIMALS),
            read_thousand_s=round(speed.token_s * _THOUSAND, _DECIMALS),
            read_samples=speed.samples,
        )
        for service in core.placement.engine_speeds.list_uneven():
            log_factors(core.placement.engine_speeds, service)
