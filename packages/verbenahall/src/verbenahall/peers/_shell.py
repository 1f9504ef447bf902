"""Sends and receives the datagrams between instances."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, final

from returns.maybe import Some

from verbenahall import clock, journal
from verbenahall.peers._arrivals import ArrivalClock
from verbenahall.peers._messages import (
    TopicUpdate,
    Heartbeat,
    decode_message,
    encode_update,
    encode_heartbeat,
    split_update,
)
from verbenahall.peers._state import (
    PeerBook,
    choose_due,
    find_scale,
    greet,
    hear,
    tell_whom,
)
from verbenahall.placement import PlacementState

#: How often the exchange looks for peers that are due, in seconds.
_TICK_S: Final = 0.1
#: Datagrams for what was read in one go, at most: some thirty entries. What is
#: longer comes after an outage and is read from the store by everybody.
_MOST_DATAGRAMS: Final = 10


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
        ``changing`` tells those that this instance has ordered itself,
        ``followed`` what it follows at the store and ``ages`` for how long the
        store has not confirmed it; news of the store go to ``on_update``.
        """
        self.changing: Callable[[], Sequence[str]] = tuple
        self.followed: Callable[[], Mapping[str, int]] = dict
        self.list_ages: Callable[[], Mapping[str, float]] = dict
        self.on_update: Callable[[TopicUpdate], object] = bool
        #: Takes datagrams of other kinds with their senders' addresses; False
        #: leaves one to the exchange.
        self.hear_other: Callable[[bytes, str], bool] = _hear_nothing
        self._book = book
        self._ledger = placement.ledger
        self._speed = placement.read_speed
        self._hear_changing = hear_changing
        self._numbers = itertools.count()
        self._transport: Any = None
        self._arrivals = ArrivalClock(_TICK_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hear one message."""
        if self.hear_other(data, f'{addr[0]}:{addr[1]}'):
            return
        match decode_message(data):
            case Some(Heartbeat() as word):
                self._hear(word, addr)
            case Some(TopicUpdate() as news):
                self.on_update(news)
            case _:
                journal.write_decision('word_unreadable', peer=addr[0])

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
            now = clock.monotonic()
            self._arrivals.record_tick(now)
            self._tell(now)
            await asyncio.sleep(_TICK_S)

    def broadcast(self, news: TopicUpdate) -> None:
        """Pass on what was read from the store, in as many parts as needed."""
        parts = split_update(news)
        if len(parts) > _MOST_DATAGRAMS:
            parts = (dataclasses.replace(news, records=()),)
        told = tell_whom(self._book)
        for part in parts:
            datagram = encode_update(part)
            for peer in told:
                self.send(datagram, peer.address)

    def announce(self) -> None:
        """Tell the peers once that are not told regularly.

        Instances of other data centres learn this one's address by it only,
        and may need it as the scheduler of engines near it. They get no news
        from it, so it tells of no topic that it follows.
        """
        told = tell_whom(self._book)
        datagram = encode_heartbeat(self._make_word({}, {}))
        for peer in self._book.peers.values():
            if peer not in told:
                self.send(datagram, peer.address)

    def send(self, datagram: bytes, address: str) -> None:
        """Send one datagram; lost ones are not noticed."""
        host, _, port = address.rpartition(':')
        if self._transport is not None:
            self._transport.sendto(datagram, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _hear(self, word: Heartbeat, source: tuple[str, int]) -> None:
        now = clock.monotonic()
        host, port = source
        greet(
            self._book,
            word.author,
            f'{host}:{port}',
            word.data_centre,
            word.cores,
        )
        known = (word.author, word.number, now, word.followed)
        if hear(self._book, *known, self._arrivals.find_confirmations(word)):
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
        word = self._make_word(self.followed(), self.list_ages())
        datagram = encode_heartbeat(word)
        for address in due:
            self.send(datagram, address)

    def _make_word(
        self,
        followed: Mapping[str, int],
        ages: Mapping[str, float],
    ) -> Heartbeat:
        return Heartbeat(
            self._book.name,
            next(self._numbers),
            self._ledger.own(),
            self._book.data_centre,
            tuple(self.changing()),
            self._speed.export(),
            followed,
            self._book.cores,
            ages,
        )


def _hear_nothing(datagram: bytes, address: str) -> bool:
    """Take no datagram of another kind."""
    return False
