"""Follows a topic of the store, at the store itself or by what peers tell.

The topic is read whole once and then followed by long polls, so that a change
is known within milliseconds. Where enough peers do the same, their news take
the place of the polls; what bounds the age of what is known then is in
``_refresh``.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from returns.result import Failure, Success

from verbenahall import journal
from verbenahall.gateway._store_reachability import Received, StoreReachability
from verbenahall.gateway._core import Core
from verbenahall.gateway._standby import Standby
from verbenahall.peers import TopicUpdate
from verbenahall.platform import (
    ANSWER_S,
    Batch,
    Deleted,
    KeyedRecord,
    decode_keyed,
)
from verbenahall.roster import note_cut_off

#: How long one poll waits for a change at most, in seconds. A poll that reaches
#: a silent store is never answered, and keeps the follower waiting for its end.
_POLL_S: Final = 1.0
#: How long a poll waits that follows a change, or a topic without records.
#: The store does not wake a poll that arrives while a record is on its way in,
#: so the record is seen at the poll's end only.
_SOON_S: Final = 0.4
#: Pause before the store is tried again, in seconds: the first one, and the
#: longest. A change must be in force within two seconds of the store's word.
_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 0.7
#: How often an instance that goes by its peers' news looks whether it still
#: may, in seconds, unless news wake it. Each look goes through all peers.
_LOOK_S: Final = 0.25
#: The longest time without a call of its own, in seconds. News are numbered,
#: so this guards against faults that nobody foresaw only.
_UNCHECKED_S: Final = 60.0
#: Time for the answer to a read that does not wait, in seconds. A list that is
#: too old is used, or a request held up, until the read is given up.
_REFRESH_S: Final = 0.45
#: A call that ends this much later than its limit shows that the process stood
#: still, in seconds. The store's answer may lie there unread.
_STALL_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A topic, and what its records do.

    Single changes go to ``apply_record`` and whole reads to ``apply_all``.
    After a
    change the topic is left alone for ``pause_s``, so that the changes that
    mostly follow cost one call together.
    """

    topic: str
    apply_record: Callable[[KeyedRecord, Received], None]
    apply_all: Callable[[Mapping[str, bytes], Received], None]
    pause_s: float


@final
class Follower:
    """Follows one keyed topic for as long as the process runs.

    ``position`` is the offset of the next record, None before the first read.
    An example::

        follower = Follower(core, subject, exchange.spread)
        await asyncio.gather(follower.run(), Refresher(core, follower).run())
    """

    __slots__ = (
        'position',
        'subject',
        '_contact',
        '_core',
        '_freshness',
        '_rests',
        '_soon',
        '_spread',
        '_standby',
        '_wake',
    )

    def __init__(
        self,
        core: Core,
        subject: Subject,
        broadcast: Callable[[TopicUpdate], None],
    ) -> None:
        """Prepare; what is read from the store goes to ``broadcast``, too."""
        self.subject = subject
        self.position: int | None = None
        self._core = core
        self._contact = StoreReachability(core, subject.topic)
        self._freshness = core.freshness[subject.topic]
        self._spread = broadcast
        self._standby = Standby(core.book, subject.topic)
        self._rests = False
        self._soon = True
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Read the topic whole, then follow it, until cancelled."""
        pause = _FIRST_PAUSE_S
        while True:
            if self._may_stand_by():
                await _wait_for(self._wake)
                continue
            if await self._step():
                pause = _FIRST_PAUSE_S
                continue
            jitter = self._core.random.uniform(0.5, 1)
            await asyncio.sleep(pause * jitter)
            pause = min(pause * 2, _LONGEST_PAUSE_S)

    def is_polling_store(self) -> bool:
        """Tell whether the topic is followed at the store itself."""
        now = self._core.now()
        if self.position is None or self._standby.is_covered_by_peers(now):
            return False
        return self._contact.is_reachable(now)

    def receive_update(self, news: TopicUpdate) -> None:
        """Take a peer's news, or note that there is more than is known."""
        self._standby.record_end(news.end)
        if news.after_outage:
            note_cut_off(self._core.roster, self._core.now())
        if self.position is not None and news.start <= self.position:
            self._advance(news.records, news.start, 'peer')
        if self.position is not None and news.end > self.position:
            self._wake.set()

    def apply_peer_confirmations(self) -> None:
        """Take what the peers say of the store's answers to them."""
        if self.position is not None:
            at = self._standby.find_confirmed_at(self.position)
            self._freshness.note_confirmed(at)

    async def refresh(self) -> bool:
        """Ask the store at once; False if it does not answer."""
        if self.position is None:
            return False
        return await self._poll(self.position, 0, _REFRESH_S)

    def _may_stand_by(self) -> bool:
        """Whether the peers' news are as good as calls of its own."""
        now = self._core.now()
        if self.position is None or not self._standby.is_covered_by_peers(now):
            return False
        if not self._standby.may_wait(self.position, now):
            return False
        self.apply_peer_confirmations()
        return now - self._contact.answered_at < _UNCHECKED_S

    async def _step(self) -> bool:
        if self.position is None:
            return await self._read_all()
        wait_s = _SOON_S if self._soon else _POLL_S
        wait_s = self._freshness.limit_wait(wait_s, self._core.now())
        answered = await self._poll(self.position, wait_s, ANSWER_S)
        if self._rests:
            self._rests = False
            pause_s = self.subject.pause_s
            now = self._core.now()
            await asyncio.sleep(self._freshness.limit_wait(pause_s, now))
        return answered

    async def _read_all(self) -> bool:
        sent_at = self._core.now()
        match await self._core.store.read_newest(self.subject.topic):
            case Success(newest):
                self._contact.record_answer()
                self._soon = True
                self.position = newest.end
                received = self._contact.describe_source('store')
                self.subject.apply_all(newest.items, received)
                self._freshness.note_confirmed(sent_at)
                return True
            case Failure(away):
                self._contact.record_failure(away.reason)
        return False

    async def _poll(
        self,
        offset: int,
        wait_s: float,
        answer_s: float,
    ) -> bool:
        topic = self.subject.topic
        sent_at = self._core.now()
        store = self._core.store
        match await store.read(topic, offset, wait_s, answer_s):
            case Success(batch):
                self._contact.record_answer()
                self._soon = bool(batch.records) or not offset
                waited_s = 0 if batch.records else wait_s
                self._take(batch, offset, sent_at + waited_s)
                return True
            case Failure(Deleted()):
                self._contact.record_answer()
                # What was missed is gone; only a whole read tells what is.
                journal.write_decision('history_lost', topic=topic)
                self.position = None
                return True
            case Failure(away):
                took_s = self._core.now() - sent_at
                if took_s < wait_s + answer_s + _STALL_S:
                    self._contact.record_failure(away.reason)
        return False

    def _take(self, batch: Batch, offset: int, read_at: float) -> None:
        """Take what was read, and tell the peers what is new in it.

        ``read_at`` is a time before which the store has not looked: when the
        call was sent, or the end of its wait when nothing came.
        """
        known = self.position
        records = batch.records
        fresh = self._advance(records, offset, 'store')
        now = self._core.now()
        if batch.end <= offset + len(records):
            self._freshness.note_confirmed(min(now, read_at))
        if not fresh or known is None:
            return
        if not self._standby.is_covered_by_peers(now):
            after_outage = self._contact.has_failed_lately(now)
            end = offset + len(records)
            news = TopicUpdate(
                self.subject.topic, known, fresh, end, after_outage
            )
            self._spread(news)
            self._rests = True

    def _advance(
        self,
        records: Sequence[bytes],
        offset: int,
        source: str,
    ) -> Sequence[bytes]:
        """Take the records that are not known yet, and return them."""
        if self.position is None:
            return ()
        fresh = records[self.position - offset :]
        self.position += len(fresh)
        if fresh:
            self._standby.record_progress()
        received = self._contact.describe_source(source)
        for record in fresh:
            _apply(self.subject, record, received)
        return fresh


def _apply(subject: Subject, record: bytes, received: Received) -> None:
    try:
        keyed = decode_keyed(record)
    except ValueError as error:
        journal.write_decision(
            'record_unreadable',
            topic=subject.topic,
            reason=str(error),
        )
        return
    subject.apply_record(keyed, received)


async def _wait_for(wake: asyncio.Event) -> None:
    """Wait a moment, or until more is known to be there than is read."""
    wake.clear()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_LOOK_S):
            await wake.wait()
