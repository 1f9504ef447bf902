"""Finds the other instances through the store, and starts the exchange."""

import asyncio
from typing import Final, final

from returns.result import Success

from verbenahall import journal, wire
from verbenahall.gateway._core import Core
from verbenahall.peers import PeerExchange, greet
from verbenahall.platform import (
    INSTANCES_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
)

#: Pause before the store is tried again, in seconds: peers only better what
#: an instance knows, so there is no haste.
_PAUSE_S: Final = 3.0


@final
class PeerFinder:
    """Writes this instance's address and reads the others', once a start.

    Whoever starts later greets those that are there, so the topic need not
    be followed: two calls a start in place of a poll for ever.
    """

    __slots__ = ('_core', 'exchange')

    def __init__(self, core: Core) -> None:
        """Prepare the exchange over the core's open work."""
        self._core = core
        self.exchange = PeerExchange(
            core.book,
            core.placement,
            self._hear_changing,
        )

    async def run(self) -> None:
        """Join, then tell and hear until cancelled."""
        settings = self._core.settings
        await self.exchange.open(settings.ip, settings.peer_port)
        try:
            await asyncio.gather(self.exchange.run(), self._join())
        finally:
            # A loop that starts again binds the port anew.
            self.exchange.close()

    def _hear_changing(self, engine: str) -> None:
        self._core.standings.note_refusal(engine, self._core.now())

    async def _join(self) -> None:
        while not await self._register():
            await asyncio.sleep(_PAUSE_S)
        while not await self._read_others():
            await asyncio.sleep(_PAUSE_S)
        self.exchange.announce()

    def _greet(self, name: str, card: bytes) -> None:
        match wire.decode(card):
            case Success([str(address), str(data_centre), cores]) if isinstance(
                cores,
                int | float,
            ):
                greet(self._core.book, name, address, data_centre, cores)
            case _:
                journal.write_decision('peer_unreadable', peer=name)

    async def _register(self) -> bool:
        settings = self._core.settings
        card = wire.encode(
            [settings.peer_address, settings.data_centre, settings.cores],
        )
        record = encode_keyed(KeyedRecord(settings.name, card))
        outcome = await self._core.store.append(INSTANCES_TOPIC, [record])
        return isinstance(outcome, Appended)

    async def _read_others(self) -> bool:
        match await self._core.store.read_newest(INSTANCES_TOPIC):
            case Success(newest):
                for name, card in newest.items.items():
                    self._greet(name, card)
                known = len(self._core.book.peers)
                journal.write_decision('peers', known=known)
                return True
            case _:
                return False
