"""Asks all instances for their counts, and tells the own ones."""

import itertools
import uuid
from typing import Final, final

from returns.maybe import Some
from returns.result import Success

from verbenahall import clock, journal
from verbenahall.peers import PeerBook, PeerExchange, list_first
from verbenahall.platform import (
    USAGE_TOPIC,
    Appended,
    KeyedRecord,
    StoreClient,
    encode_keyed,
)
from verbenahall.usage._clock import TrueClock
from verbenahall.usage._gathering import GatheredCounts
from verbenahall.usage._messages import (
    UsagePoll,
    UsageAnswer,
    decode,
    decode_written,
    encode_poll,
    encode_answer,
    encode_written,
    split_counts,
)
from verbenahall.usage._meter import UsageMeter

#: The name of the duty, by which instances are ranked for it.
DUTY: Final = 'usage'
#: Instances that keep the counts of the one that reports.
_SUCCESSORS: Final = 3
#: Digits that tell this run of the process from the ones before.
_RUN_DIGITS: Final = 8


@final
class UsageExchange:
    """Gathers counts by datagrams, and by the store where these get lost.

    ``polled_at`` is when a poll was last heard, in true time.
    """

    __slots__ = (
        'polled_at',
        'gathered',
        'meter',
        '_book',
        '_clock',
        '_exchange',
        '_hear_other',
        '_numbers',
        '_poller',
        '_run',
        '_store',
    )

    def __init__(
        self,
        exchange: PeerExchange,
        book: PeerBook,
        store: StoreClient,
        meter: UsageMeter,
        clock: TrueClock,
    ) -> None:
        """Speak through the exchange between peers."""
        self.polled_at: float = 0
        self.gathered = GatheredCounts()
        self.meter = meter
        self._book = book
        self._clock = clock
        self._exchange = exchange
        self._hear_other = exchange.hear_other
        self._numbers = itertools.count(1)
        self._poller = ''
        self._run = uuid.uuid4().hex[:_RUN_DIGITS]
        self._store = store
        exchange.hear_other = self.hear

    def hear(self, datagram: bytes, sender: str) -> bool:
        """Take a message about usage; other datagrams are passed on."""
        match decode(datagram):
            case Some(UsagePoll() as poll):
                self._answer(poll, sender)
            case Some(UsageAnswer() as told):
                lead_s = self._clock.compute_lead(told.at)
                self.gathered.add_answer(told, self._clock.now(), lead_s)
            case _:
                return self._hear_other(datagram, sender)
        return True

    def poll(self) -> None:
        """Ask every known instance; the own counts are taken at once."""
        at = self._clock.find_median(self.gathered.leads.values())
        if at is not None:
            self._clock.record_time(at)
        datagram = encode_poll(UsagePoll(next(self._numbers), at or 0))
        for peer in self._book.peers.values():
            self._exchange.send(datagram, peer.address)
        self.gathered.merge(self._run, self.meter.counts)
        self._tell_successors()

    def tell_last(self) -> None:
        """Tell once more who asks, before the process ends."""
        if self._poller:
            self._tell(0, self._poller)

    def list_unanswered(self, since: float) -> list[str]:
        """Return the instances that have not answered since a time."""
        return list(self.gathered.list_unanswered(self._book.peers, since))

    def discard_before(self, window: int) -> None:
        """Drop the windows before one."""
        self.meter.discard_before(window)
        self.gathered.discard_before(window)

    async def write_counts(self) -> bool:
        """Write the own counts to the store, for whoever reports later."""
        content = encode_written(self._run, self.meter.counts)
        record = encode_keyed(KeyedRecord(self._book.name, content))
        outcome = await self._store.append(USAGE_TOPIC, [record])
        journal.write_decision('usage_written', outcome=repr(outcome))
        return isinstance(outcome, Appended)

    async def read_counts(self) -> bool:
        """Take the counts that instances have written; False if away."""
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
                # Another writer's record; the others' counts hold.
                journal.write_decision('usage_unreadable', instance=name)

    def _tell_successors(self) -> None:
        """Tell the own counts to those that take over when this one dies."""
        now = clock.monotonic()
        for name in list_first(self._book, DUTY, now, _SUCCESSORS):
            self._tell(0, self._book.peers[name].address)

    def _answer(self, poll: UsagePoll, sender: str) -> None:
        if poll.at:
            self._clock.record_time(poll.at)
        self.polled_at = self._clock.now()
        self._poller = sender
        self._tell(poll.number, sender)

    def _tell(self, number: int, address: str) -> None:
        parts = split_counts(self.meter.counts)
        at = self._clock.read_local()
        for place, counts in enumerate(parts):
            told = UsageAnswer(
                self._book.name,
                self._run,
                number,
                place,
                len(parts),
                at,
                counts,
            )
            self._exchange.send(encode_answer(told), address)
