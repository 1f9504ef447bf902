"""State of a store topic, as reported by the peers that follow it."""

from typing import Final, final

from verbenahall.peers import (
    PeerTable,
    find_confirmation,
    find_latest_offset,
    is_covered_by_peers,
)
from verbenahall.store_relay._freshness import Confirmation

#: How long the update with new records may arrive after a heartbeat that
#: reports them, in seconds. If instances did not wait for it, every instance of
#: a large fleet would read the records from the store, although the update is
#: already on its way.
_MAX_UPDATE_DELAY_S: Final = 0.4


@final
class Standby:
    """State of one topic, from the heartbeats and updates of the peers."""

    __slots__ = ('_peer_table', '_latest_offset', '_missing_since', '_topic')

    def __init__(self, peer_table: PeerTable, topic: str) -> None:
        """Start without any report."""
        self._peer_table = peer_table
        self._latest_offset = 0
        self._missing_since: float | None = None
        self._topic = topic

    def record_end(self, end: int) -> None:
        """Record the end offset of an update, received from a peer."""
        self._latest_offset = max(self._latest_offset, end)

    def is_covered_by_peers(self, now: float) -> bool:
        """Whether enough peers follow the topic at the store."""
        return is_covered_by_peers(self._peer_table, self._topic, now)

    def has_follower(self, now: float) -> bool:
        """Whether a live peer follows the topic at the store."""
        return find_latest_offset(self._peer_table, self._topic, now) > 0

    def find_confirmation(self, position: int) -> Confirmation:
        """Return the newest confirmation of a position by a peer's report."""
        at, origin = find_confirmation(self._peer_table, self._topic, position)
        return Confirmation(at, origin, hops=1)

    def may_wait(self, position: int, now: float) -> bool:
        """Whether no record is missing, or missing ones may still arrive."""
        return self.find_missing_s(position, now) < _MAX_UPDATE_DELAY_S

    def find_missing_s(self, position: int, now: float) -> float:
        """Return for how long records have been missing, 0 if none are."""
        reported = find_latest_offset(self._peer_table, self._topic, now)
        if max(reported, self._latest_offset) <= position:
            self._missing_since = None
            return 0
        if self._missing_since is None:
            self._missing_since = now
        return now - self._missing_since

    def record_progress(self) -> None:
        """Record that missing records have arrived."""
        self._missing_since = None
