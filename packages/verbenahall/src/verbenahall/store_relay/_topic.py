"""An instance's own copy of a topic, from the store and from peers."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import final

from verbenahall import journal
from verbenahall.clock import Clock
from verbenahall.platform import KeyedRecord, StoreEra, get_era
from verbenahall.isolation import isolate_record
from verbenahall.store_relay._copy import (
    TopicCopy,
    decode_items,
    decode_record,
)
from verbenahall.store_relay._decisions import TopicView
from verbenahall.store_relay._freshness import Confirmation, Freshness
from verbenahall.store_relay._handlers import TopicHandler
from verbenahall.store_relay._messages import TopicState
from verbenahall.store_relay._reachability import (
    Received,
    StoreReachability,
)
from verbenahall.store_relay._standby import Standby


@final
class LocalTopic:
    """The records of a topic in the order of their positions, each once.

    ``position`` is that of the next record, None before the first whole read
    and after the store has deleted records that were not read. After the store
    has returned from an older copy, the topic is replaced by a whole one of the
    new era, and nothing of an earlier era is applied any more.
    """

    __slots__ = (
        'copy',
        'freshness',
        'handler',
        'missing',
        'reachability',
        'receiving',
        'standby',
        '_now',
    )

    def __init__(
        self,
        handler: TopicHandler,
        freshness: Freshness,
        reachability: StoreReachability,
        standby: Standby,
        now: Clock,
    ) -> None:
        """Start without a record."""
        self.copy = TopicCopy()
        self.freshness = freshness
        self.handler = handler
        #: Set by an update that shows that records are missing.
        self.missing = asyncio.Event()
        self.reachability = reachability
        #: Answers of peers that are being received.
        self.receiving = 0
        self.standby = standby
        self._now = now

    @property
    def position(self) -> int | None:
        """Position of the next record, None without a state."""
        return self.copy.end

    @property
    def name(self) -> str:
        """The topic's name."""
        return self.handler.topic

    def describe(self) -> TopicView:
        """Return what it depends on whether a peer must send the topic."""
        now = self._now()
        is_refused = self.reachability.is_refused
        if is_refused:
            self.apply_peer_confirmations()
        position = self.position
        has_state = position is not None
        return TopicView(
            has_state,
            self.standby.find_missing_s(position or 0, now) if has_state else 0,
            self.freshness.find_age(now),
            # Without a follower among the peers, changes come by answers only.
            self.freshness.refresh_s if self.standby.has_follower(now) else 0,
            is_refused,
            has_state and self.standby.find_era(now) > get_era(position or 0),
            has_state and self.standby.is_cut(position or 0),
        )

    def is_superseded(self, era: int) -> bool:
        """Whether the copy is of an era of the store before ``era``."""
        return self.position is not None and get_era(self.position) < era

    def may_await_copy(self, store_era: StoreEra) -> bool:
        """Whether a peer's copy is awaited after the store has returned."""
        now = self._now()
        reported = self.standby.find_era(now)
        store_era.record_reported(reported)
        era = max(reported, store_era.current)
        return self.is_superseded(era) and self.standby.may_await_copy(era, now)

    def apply_records(
        self, records: Sequence[bytes], offset: int, source: str
    ) -> Sequence[bytes]:
        """Apply the records that are new to this instance, and return them."""
        if self.position is None:
            return ()
        fresh = records[self.position - offset :]
        if fresh:
            self.standby.record_progress()
        changed = []
        for record in fresh:
            keyed = decode_record(self.name, record)
            self.copy.append(record, keyed)
            if keyed is not None:
                changed.append(keyed)
        self._apply_changed(changed, self.reachability.describe_source(source))
        return fresh

    def apply_all(
        self, items: Mapping[str, bytes], end: int, source: str
    ) -> None:
        """Replace the copy by a whole topic that is complete at ``end``."""
        before = self.copy.highest_end
        if 0 < get_era(before) < get_era(end):
            _log_return(self, items, end, source)
            # Entries that are missing are written again within seconds.
            self.reachability.record_return()
        self.copy.replace(items, end)
        self.standby.record_progress()
        received = self.reachability.describe_source(source)
        self.handler.apply_all(items, received)

    def apply_state(
        self, state: TopicState, confirmation: Confirmation | None
    ) -> bool:
        """Apply a peer's answer; return whether it brought anything new."""
        before = self.position
        if state.is_whole:
            self._apply_whole(state)
        elif before is not None and state.start <= before:
            self.apply_records(state.records, state.start, 'relay')
        position = self.position
        is_newer = False
        if confirmation and position is not None and position >= state.end:
            is_newer = self.freshness.record_confirmation(confirmation)
        return is_newer or position != before

    def apply_peer_confirmations(self) -> None:
        """Use the confirmations of the store that the peers have received."""
        if self.position is not None:
            found = self.standby.find_confirmation(self.position)
            self.freshness.record_confirmation(found)

    def _apply_changed(
        self, changed: Sequence[KeyedRecord], received: Received
    ) -> None:
        newest_only = self.handler.newest_only
        for one in reversed(changed) if newest_only else changed:
            with isolate_record(self.name, one.key):
                applied = self.handler.apply_record(one, received)
                if applied and newest_only:
                    break

    def _apply_whole(self, state: TopicState) -> None:
        """Apply a whole topic, unless this instance has had a newer one.

        After the store has deleted records that were not read there is no
        position, but a peer that lags behind must still not override what was
        applied before.
        """
        is_new = self.position is None or state.end > self.position
        if is_new and state.end >= self.copy.highest_end:
            items = decode_items(self.name, state.records)
            self.apply_all(items, state.end, 'relay')


def _log_return(
    topic: LocalTopic, items: Mapping[str, bytes], end: int, source: str
) -> None:
    """Log what the store has lost; its writers write it again."""
    known = topic.copy.items
    kept = known.keys() & items.keys()
    journal.write_decision(
        'topic_returned',
        topic=topic.name,
        era=get_era(end),
        before=topic.copy.end,
        end=end,
        lost=len(known.keys() - items.keys()),
        added=len(items.keys() - known.keys()),
        changed=sum(known[key] != items[key] for key in kept),
        source=source,
    )
