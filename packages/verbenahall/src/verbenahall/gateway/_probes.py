"""Tries endpoints that could not be reached, beside the requests."""

import asyncio
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core

#: How often endpoints that cannot be reached are tried, in seconds. They are
#: missed until a try gets through.
_EVERY_S: Final = 0.4
#: A connection inside of a region is there within a few milliseconds.
_CONNECT_S: Final = 0.3


@final
class Probes:
    """Connects to avoided endpoints, so that no request has to try them."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Look at the core's standings."""
        self._core = core

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(_EVERY_S)
            avoided = self._core.standings.unreachable(self._core.now())
            await asyncio.gather(*(self._probe(name) for name in avoided))

    async def _probe(self, name: str) -> None:
        seat = self._core.roster.seats.get(name)
        if seat is None:
            return
        host, _, port = seat.entry.address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        writer.close()
        self._core.standings.note_reached(name)
        journal.write_decision('endpoint_reached', endpoint=name)
