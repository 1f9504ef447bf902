"""State of a store topic, as reported by the peers that follow it."""

from collections.abc import Sequence
from typing import Final, final

from verbenahall.peers import (
    PeerTable,
    TopicUpdate,
    find_confirmation,
    find_follower_rank,
    find_latest_position,
    is_covered_by_peers,
    is_local_author,
)
from verbenahall.platform import get_era
from verbenahall.store_relay._freshness import Confirmation

#: How long the update with new records may arrive after a heartbeat that
#: reports them, in seconds. If instances did not wait for it, every instance of
#: a large fleet would read the records from the store, although the update is
#: already on its way.
_MAX_UPDATE_DELAY_S: Final = 0.4
#: How long an instance waits for a peer's copy after the store has returned, in
#: seconds, for each pair of instances that is ranked before it: they read the
#: topic from the store first.
_COPY_STEP_S: Final = 0.5
_PAIR: Final = 2
#: The longest wait, in seconds, and what is added for each rank, so that the
#: last instances do not read all at once.
_MAX_COPY_WAIT_S: Final = 2.0
_COPY_SPREAD_S: Final = 0.02


@final
class Standby:
    """State of one topic, from the heartbeats and updates of the peers."""

    __slots__ = (
        'local_end',
        '_cut_end',
        '_holders',
        '_peer_table',
        '_latest_position',
        '_missing_since',
        '_superseded_in',
        '_superseded_since',
        '_topic',
    )

    def __init__(self, peer_table: PeerTable, topic: str) -> None:
        """Start without any report."""
        #: The highest end that the local data centre has been told of.
        self.local_end = 0
        #: The highest end of an update whose records were left out.
        self._cut_end = 0
        #: The highest end that each author of an update has stated.
        self._holders: dict[str, int] = {}
        self._peer_table = peer_table
        self._latest_position = 0
        self._missing_since: float | None = None
        #: The era that came after this instance's copy, and since when it is
        #: known.
        self._superseded_in = 0
        self._superseded_since = -float('inf')
        self._topic = topic

    def record_update(self, update: TopicUpdate) -> None:
        """Record how far a topic goes by an update of a peer."""
        end = update.end
        self._latest_position = max(self._latest_position, end)
        if update.is_cut:
            self._cut_end = max(self._cut_end, end)
        if update.is_forwarded or is_local_author(
            self._peer_table, update.author
        ):
            self.local_end = max(self.local_end, end)
        if update.author in self._peer_table.peers:
            self._holders[update.author] = end

    def is_cut(self, position: int) -> bool:
        """Whether records from a position on were left out of updates."""
        return position < self._cut_end

    def list_holders(self, position: int) -> Sequence[str]:
        """Return the peers that have told of records from a position on."""
        self._holders = {
            name: end for name, end in self._holders.items() if end > position
        }
        return tuple(self._holders)

    def is_covered_by_peers(self, now: float) -> bool:
        """Whether enough peers follow the topic at the store."""
        return is_covered_by_peers(self._peer_table, self._topic, now)

    def has_follower(self, now: float) -> bool:
        """Whether a live peer follows the topic at the store."""
        return find_latest_position(self._peer_table, self._topic, now) > 0

    def find_confirmation(self, position: int) -> Confirmation:
        """Return the newest confirmation of a position by a peer's report."""
        at, origin = find_confirmation(self._peer_table, self._topic, position)
        return Confirmation(at, origin, hops=1)

    def find_era(self, now: float) -> int:
        """Return the latest era in which a live peer has read the topic."""
        latest = find_latest_position(self._peer_table, self._topic, now)
        return get_era(max(latest, self._latest_position))

    def may_await_copy(self, era: int, now: float) -> bool:
        """Whether a peer may still send its copy of the topic in a new era.

        After a return of the store all instances have to get the topic anew. If
        all read it from the store, they would exceed its limits, so the first
        two do, and the others get it from these.
        """
        if era != self._superseded_in:
            self._superseded_in = era
            self._superseded_since = now
        rank = find_follower_rank(self._peer_table, self._topic, now)
        limit_s = _MAX_COPY_WAIT_S + _COPY_SPREAD_S * rank
        wait_s = min(_COPY_STEP_S * (rank // _PAIR), limit_s)
        return now - self._superseded_since < wait_s

    def may_wait(self, position: int, now: float) -> bool:
        """Whether no record is missing, or missing ones may still arrive."""
        return self.find_missing_s(position, now) < _MAX_UPDATE_DELAY_S

    def find_missing_s(self, position: int, now: float) -> float:
        """Return for how long records have been missing, 0 if none are."""
        reported = find_latest_position(self._peer_table, self._topic, now)
        if max(reported, self._latest_position) <= position:
            self._missing_since = None
            return 0
        if self._missing_since is None:
            self._missing_since = now
        return now - self._missing_since

    def record_progress(self) -> None:
        """Record that missing records have arrived."""
        self._missing_since = None
