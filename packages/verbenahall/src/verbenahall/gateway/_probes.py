"""Tries endpoints that could not be reached, beside the requests."""

import asyncio
import enum
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core

#: How often endpoints that cannot be reached are tried, in seconds. They are
#: missed until a try gets through.
_EVERY_S: Final = 0.4
#: A connection inside of a region is there within a few milliseconds.
_CONNECT_S: Final = 0.3


@final
class Contact(enum.Enum):
    """What became of an attempt to connect to an endpoint.

    A machine refuses at once where nobody listens. Silence may be the
    network's.
    """

    LISTENS = 'listens'
    REFUSES = 'refuses'
    SILENT = 'silent'


async def contact(address: str) -> Contact:
    """Connect to an endpoint and close the connection again."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Contact.REFUSES
    except OSError:
        return Contact.SILENT
    writer.close()
    return Contact.LISTENS


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
        if await contact(seat.entry.address) is Contact.LISTENS:
            self._core.standings.note_reached(name)
            journal.write_decision('endpoint_reached', endpoint=name)
