"""Follows a topic of the store by long polls or by updates from peers.

The topic is read whole once and then followed by long polls, so that a change
arrives within milliseconds. If enough peers follow the topic, the instance
relies on their updates instead of polling; ``_refresh`` then bounds the age of
its data.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final, final

from returns.result import Failure, Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.peers import TopicUpdate
from verbenahall.platform import (
    ANSWER_S,
    Batch,
    Deleted,
    Returned,
    get_era,
    get_offset,
)
from verbenahall.roster import record_store_outage
from verbenahall.store_relay import (
    LocalTopic,
    Standby,
    StoreReachability,
    TopicHandler,
    wait_for_event,
)

#: How long one poll waits for a change at most, in seconds. A poll that arrives
#: while the store is unresponsive is never answered, and blocks the follower
#: until it times out.
_POLL_S: Final = 1.0
#: How long a poll waits after a change, and on a topic without records, in
#: seconds. The store does not wake a poll that arrives while a record is being
#: appended, so that record is returned only at the end of the poll.
_SHORT_POLL_S: Final = 0.4
#: Interval at which an instance that relies on updates from its peers checks
#: whether enough of them still follow the topic, in seconds. An update that
#: shows that records are missing wakes it earlier. Each check iterates over all
#: peers.
_CHECK_S: Final = 0.25
#: Longest time for which an instance relies on updates without a call to the
#: store, in seconds. Updates carry offsets, which show a lost update, so this
#: only guards against unforeseen faults.
_MAX_UNCHECKED_S: Final = 60.0
#: Timeout of a read that does not wait for changes, in seconds. Until it ends,
#: outdated data is used or a request is held.
_REFRESH_TIMEOUT_S: Final = 0.45
#: How long after an update its end is sent once more, in seconds. Heartbeats
#: would show a lost update up to 0.6 s later.
_ANNOUNCE_S: Final = 0.15
#: A call that ends this much after its timeout shows that the process was
#: stalled, in seconds. It is not recorded as a failure of the store, whose
#: answer may be unread in the socket's buffer.
_STALL_S: Final = 0.25


@final
class Follower:
    """Follows one keyed topic for as long as the process runs.

    ``local`` is the copy that it keeps up to date. An example::

        follower = Follower(core, handler, exchange.broadcast)
        await asyncio.gather(follower.run(), Refresher(core, follower).run())
    """

    __slots__ = (
        'broadcast',
        'local',
        '_core',
        '_freshness',
        '_pause_pending',
        '_polls_short',
        '_reachability',
        '_standby',
        '_wake',
    )

    def __init__(
        self,
        core: Core,
        handler: TopicHandler,
        broadcast: Callable[[TopicUpdate], None],
    ) -> None:
        """Prepare; records read from the store also go to ``broadcast``."""
        self._core = core
        self._freshness = core.freshness[handler.topic]
        self._reachability = StoreReachability(
            handler.topic,
            self._freshness,
            core.roster,
            core.store_spacing,
            core.now,
        )
        #: Sends an update to the peers.
        self.broadcast = broadcast
        self._standby = Standby(core.peer_table, handler.topic)
        self.local = LocalTopic(
            handler,
            self._freshness,
            self._reachability,
            self._standby,
            core.now,
        )
        self._pause_pending = False
        self._polls_short = True
        self._wake = asyncio.Event()

    @property
    def handler(self) -> TopicHandler:
        """The topic and the handlers for its records."""
        return self.local.handler

    @property
    def position(self) -> int | None:
        """Position of the next record, None without a whole read."""
        return self.local.position

    async def run(self) -> None:
        """Read the topic whole, then follow it, until cancelled."""
        while True:
            era = self._core.store.era
            if self._may_stand_by() or self.local.may_await_copy(era):
                self._wake.clear()
                await wait_for_event(self._wake, _CHECK_S)
            elif self._reachability.begin_call():
                await self._step()
            else:
                await self._reachability.wait()

    def is_polling_store(self) -> bool:
        """Whether the topic is followed by polls that the store answers."""
        now = self._core.now()
        if self.position is None or self._standby.is_covered_by_peers(now):
            return False
        if self.local.is_superseded(self._core.store.era.current):
            return False
        return self._reachability.is_reachable(now)

    def receive_update(self, update: TopicUpdate) -> None:
        """Apply a peer's update, and wake up if records are missing."""
        self._standby.record_update(update)
        self._core.store.era.record_reported(get_era(update.end))
        if update.after_outage:
            record_store_outage(self._core.roster, self._core.now())
        if self.position is not None and update.start <= self.position:
            self.local.apply_records(update.records, update.start, 'peer')
        if self.position is not None and update.end > self.position:
            self._wake.set()
            self.local.missing.set()

    async def refresh(self) -> bool:
        """Read the store without waiting; False if it does not answer."""
        era = self._core.store.era.current
        if self.position is None or self.local.is_superseded(era):
            return False
        if self._core.store.is_receiving(self.handler.topic):
            # Its records come no sooner by another call.
            return False
        if not self._reachability.begin_call():
            return False
        return await self._poll(self.position, 0, _REFRESH_TIMEOUT_S)

    def _may_stand_by(self) -> bool:
        """Whether updates from peers are enough, without calls to the store."""
        now = self._core.now()
        if self.position is None or not self._standby.is_covered_by_peers(now):
            return False
        is_receiving = self.local.receiving or self._core.store.is_receiving(
            self.handler.topic
        )
        if not (is_receiving or self._standby.may_wait(self.position, now)):
            return False
        self.local.apply_peer_confirmations()
        return now - self._reachability.answered_at < _MAX_UNCHECKED_S

    async def _step(self) -> bool:
        is_superseded = self.local.is_superseded(self._core.store.era.current)
        if self.position is None or is_superseded:
            return await self._read_all()
        wait_s = _SHORT_POLL_S if self._polls_short else _POLL_S
        wait_s = self._freshness.limit_wait(wait_s, self._core.now())
        now = self._core.now()
        is_missing = self._standby.find_missing_s(self.position, now) > 0
        if self._reachability.is_refused or is_missing:
            # An answer without delay shows at once that the store serves.
            wait_s = 0
        answered = await self._poll(self.position, wait_s, ANSWER_S)
        if self._pause_pending:
            self._pause_pending = False
            pause_s = self.handler.pause_s
            now = self._core.now()
            await asyncio.sleep(self._freshness.limit_wait(pause_s, now))
        return answered

    async def _read_all(self) -> bool:
        sent_at = self._core.now()
        topic = self.handler.topic
        found = await self._core.store.read_newest(topic)
        if not isinstance(found, Success):
            self._reachability.record_failure(found.failure().reason)
            return False
        newest = found.unwrap()
        end = newest.end
        self._reachability.record_answer()
        self._polls_short = True
        # A peer may have sent a newer state since the call was sent.
        if end >= (self.position or 0):
            has_returned = self.local.is_superseded(get_era(end))
            self.local.apply_all(newest.items, end, 'store')
            self._freshness.record_confirmed(sent_at)
            if has_returned:
                # The peers get the topic of the new era from this instance.
                self.broadcast(
                    TopicUpdate(topic, end, (), end, after_outage=True)
                )
        return True

    async def _poll(
        self,
        offset: int,
        wait_s: float,
        answer_s: float,
    ) -> bool:
        topic = self.handler.topic
        sent_at = self._core.now()
        store = self._core.store
        match await store.read(topic, offset, wait_s, answer_s):
            case Success(batch):
                self._reachability.record_answer()
                self._polls_short = bool(batch.records) or not get_offset(
                    offset
                )
                waited_s = 0 if batch.records else wait_s
                self._apply_batch(batch, offset, sent_at + waited_s)
                return True
            case Failure(Deleted()):
                self._reachability.record_answer()
                # Records that were not read are deleted: read the whole topic.
                journal.write_decision('history_lost', topic=topic)
                if self.position == offset:
                    self.local.copy.discard()
                return True
            case Failure(Returned()) if get_era(offset) <= store.era.current:
                # What is known stays in use until the new era's topic is read.
                self._reachability.record_answer()
                return True
            case Failure(Returned()):
                self._reachability.record_failure('the store is behind')
            case Failure(error):
                took_s = self._core.now() - sent_at
                if took_s < wait_s + answer_s + _STALL_S:
                    self._reachability.record_failure(error.reason)
        return False

    def _apply_batch(self, batch: Batch, offset: int, read_at: float) -> None:
        """Apply records read from the store, and send new ones to the peers.

        ``read_at`` is the earliest time at which the store can have read the
        batch: when the call was sent or, without records, the end of its wait.
        """
        position_before = self.position
        records = batch.records
        fresh = self.local.apply_records(records, offset, 'store')
        now = self._core.now()
        if batch.end <= offset + len(records):
            self._freshness.record_confirmed(min(now, read_at))
        if not fresh or position_before is None:
            return
        if not self._standby.is_covered_by_peers(now):
            after_outage = self._reachability.has_failed_lately(now)
            end = offset + len(records)
            update = TopicUpdate(
                self.handler.topic,
                position_before,
                fresh,
                end,
                after_outage,
            )
            self.broadcast(update)
            if self.handler.newest_only:
                self._core.spawn(_announce_again(self, update))
            self._pause_pending = True


async def _announce_again(follower: Follower, update: TopicUpdate) -> None:
    """Send the end of an update once more, as datagrams get lost."""
    await asyncio.sleep(_ANNOUNCE_S)
    if follower.position == update.end:
        follower.broadcast(dataclasses.replace(update, records=()))
