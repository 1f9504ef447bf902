"""Exchanges counts with the other instances."""

import itertools
import uuid
from collections.abc import Awaitable, Callable
from typing import Final, final

from returns.maybe import Some
from returns.result import Success

from verbenahall import clock, journal
from verbenahall.peers import PeerExchange, PeerTable, list_top_ranked
from verbenahall.platform import (
    USAGE_TOPIC,
    Appended,
    KeyedRecord,
    StoreClient,
    encode_keyed,
)
from verbenahall.usage._clock import SyncedClock
from verbenahall.usage._gathering import GatheredCounts
from verbenahall.usage._messages import (
    UsageAnswer,
    UsagePoll,
    decode,
    decode_written,
    encode_answer,
    encode_poll,
    encode_written,
    split_counts,
)
from verbenahall.usage._meter import UsageMeter

#: Name of the duty, by which instances are ranked for it.
DUTY: Final = 'usage'
#: Number of instances that receive the holder's own counts at each poll.
_SUCCESSORS: Final = 3
#: Digits of the identifier of this run of the process.
_RUN_DIGITS: Final = 8


@final
class UsageExchange:
    """Gathers counts by datagrams, and from the store if datagrams are lost.

    ``polled_at`` is when the last poll was received, in seconds since 1970.
    """

    __slots__ = (
        'gathered',
        'meter',
        'polled_at',
        'relay_append',
        '_clock',
        '_exchange',
        '_next_handler',
        '_numbers',
        '_peer_table',
        '_poller',
        '_run',
        '_store',
    )

    def __init__(
        self,
        exchange: PeerExchange,
        peer_table: PeerTable,
        store: StoreClient,
        meter: UsageMeter,
        clock: SyncedClock,
    ) -> None:
        """Register for datagrams of the exchange between peers."""
        self.polled_at: float = 0
        self.gathered = GatheredCounts()
        self.meter = meter
        #: Appends a record to a topic through a peer, if the store refuses
        #: this instance. Returns whether a peer has done so.
        self.relay_append: Callable[[str, bytes], Awaitable[bool]]
        self.relay_append = _relay_nothing
        self._peer_table = peer_table
        self._clock = clock
        self._exchange = exchange
        self._next_handler = exchange.datagram_handler
        self._numbers = itertools.count(1)
        # Address of the instance that polled last.
        self._poller = ''
        self._run = uuid.uuid4().hex[:_RUN_DIGITS]
        self._store = store
        exchange.datagram_handler = self.handle_datagram

    def handle_datagram(self, datagram: bytes, sender: str) -> bool:
        """Handle a usage message; pass other datagrams to the next handler."""
        match decode(datagram):
            case Some(UsagePoll() as poll):
                self._answer_poll(poll, sender)
            case Some(UsageAnswer() as answer):
                lead_s = self._clock.compute_lead(answer.at)
                self.gathered.add_answer(answer, self._clock.now(), lead_s)
            case _:
                return self._next_handler(datagram, sender)
        return True

    def poll(self) -> None:
        """Poll all known instances and merge the local counts."""
        at = self._clock.find_median(self.gathered.leads.values())
        if at is not None:
            self._clock.record_time(at)
        datagram = encode_poll(UsagePoll(next(self._numbers), at or 0))
        for peer in self._peer_table.peers.values():
            self._exchange.send(datagram, peer.address)
        self.gathered.merge(self._run, self.meter.counts)
        self._send_to_successors()

    def send_final_counts(self) -> None:
        """Send the final counts to the last poller before the process ends."""
        if self._poller:
            self._send_counts(0, self._poller)

    def list_unanswered(self, since: float) -> list[str]:
        """Return the instances without a complete answer since a time."""
        return list(
            self.gathered.list_unanswered(self._peer_table.peers, since)
        )

    def discard_before(self, window: int) -> None:
        """Discard the windows before ``window``."""
        self.meter.discard_before(window)
        self.gathered.discard_before(window)

    async def write_counts(self) -> bool:
        """Write the local counts, through a peer if the store refuses them.

        Return whether the store accepted them.
        """
        content = encode_written(self._run, self.meter.counts)
        record = encode_keyed(KeyedRecord(self._peer_table.name, content))
        outcome = await self._store.append(USAGE_TOPIC, [record])
        journal.write_decision('usage_written', outcome=repr(outcome))
        if isinstance(outcome, Appended):
            return True
        return await self.relay_append(USAGE_TOPIC, record)

    async def read_counts(self) -> bool:
        """Merge the counts from the store; False if it is unavailable."""
        match await self._store.read_newest(USAGE_TOPIC):
            case Success(newest):
                for name, content in newest.items.items():
                    self._merge_written(name, content)
                return True
            case _:
                return False

    def _merge_written(self, name: str, content: bytes) -> None:
        match decode_written(content):
            case Some((run, counts)):
                self.gathered.merge(run, counts)
            case _:
                # Not a record of an instance; the other records are used.
                journal.write_decision('usage_unreadable', instance=name)

    def _send_to_successors(self) -> None:
        """Send the local counts to the next instances in rank for the duty.

        They need them if this instance is killed.
        """
        now = clock.monotonic()
        for name in list_top_ranked(self._peer_table, DUTY, now, _SUCCESSORS):
            self._send_counts(0, self._peer_table.peers[name].address)

    def _answer_poll(self, poll: UsagePoll, sender: str) -> None:
        if poll.at:
            self._clock.record_time(poll.at)
        self.polled_at = self._clock.now()
        self._poller = sender
        self._send_counts(poll.number, sender)

    def _send_counts(self, number: int, address: str) -> None:
        parts = split_counts(self.meter.counts)
        at = self._clock.read_local()
        for part, counts in enumerate(parts):
            answer = UsageAnswer(
                self._peer_table.name,
                self._run,
                number,
                part,
                len(parts),
                at,
                counts,
            )
            self._exchange.send(encode_answer(answer), address)


async def _relay_nothing(topic: str, record: bytes) -> bool:
    """Append nothing, as long as no relay is set."""
    return False
