"""Sends and receives the datagrams between instances."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Any, Final, final

from returns.maybe import Some

from verbenahall import clock, journal
from verbenahall.peers._messages import Word, decode_word, encode_word
from verbenahall.peers._state import (
    PeerBook,
    choose_due,
    find_scale,
    greet,
    hear,
)
from verbenahall.placement import PlacementState

#: How often the exchange looks for peers that are due, in seconds.
_TICK_S: Final = 0.1


@final
class PeerExchange(asyncio.DatagramProtocol):
    """Tells peers this instance's open work and hears theirs."""

    def __init__(
        self,
        book: PeerBook,
        placement: PlacementState,
        hear_changing: Callable[[str], None],
    ) -> None:
        """Speak for this instance's own open work; hear the others'.

        Engines that a peer says are changing go to ``hear_changing``;
        ``changing`` tells those that this instance has ordered itself.
        """
        self.changing: Callable[[], Sequence[str]] = tuple
        self._book = book
        self._ledger = placement.ledger
        self._speed = placement.read_speed
        self._hear_changing = hear_changing
        self._numbers = itertools.count()
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hear one word."""
        match decode_word(data):
            case Some(word):
                self._hear(word, addr)
            case _:
                journal.write_decision('word_unreadable', peer=addr[0])

    def error_received(self, exc: Exception) -> None:
        """Go on: a peer whose machine is gone is told again later."""

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(ip, port),
        )

    async def run(self) -> None:
        """Tell the peers until cancelled."""
        while True:
            self._tell(clock.monotonic())
            await asyncio.sleep(_TICK_S)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _hear(self, word: Word, source: tuple[str, int]) -> None:
        now = clock.monotonic()
        host, port = source
        greet(self._book, word.author, f'{host}:{port}', word.data_centre)
        if hear(self._book, word.author, word.number, now):
            self._ledger.hear(word.author, word.loads, now)
            self._speed.adopt(word.speed or (0,))
            for engine in word.changing:
                self._hear_changing(engine)

    def _tell(self, now: float) -> None:
        self._ledger.forget_silent(now)
        self._ledger.scale = find_scale(self._book)
        due = tuple(choose_due(self._book, now))
        if not due:
            return
        loads = self._ledger.own()
        changing = tuple(self.changing())
        word = Word(
            self._book.name,
            next(self._numbers),
            loads,
            self._book.data_centre,
            changing,
            self._speed.export(),
        )
        datagram = encode_word(word)
        for address in due:
            host, _, port = address.rpartition(':')
            self._transport.sendto(datagram, (host, int(port)))
