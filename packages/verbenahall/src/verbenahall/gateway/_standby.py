"""What peers that follow a topic tell of it, to one that relies on them."""

from typing import Final, final

from verbenahall.peers import (
    PeerBook,
    find_confirmed_at,
    find_latest_offset,
    is_covered_by_peers,
)

#: How long news of records may be later than the word that there are such, in
#: seconds. Both come by datagram, the word first; without this patience every
#: instance of a large fleet reads from the store what is on its way to it.
_NEWS_LATE_S: Final = 0.4


@final
class Standby:
    """One topic, as the peers tell it."""

    __slots__ = ('_book', '_furthest', '_missing_since', '_topic')

    def __init__(self, book: PeerBook, topic: str) -> None:
        """Start with nothing heard."""
        self._book = book
        self._furthest = 0
        self._missing_since: float | None = None
        self._topic = topic

    def record_end(self, end: int) -> None:
        """Note how far the topic goes."""
        self._furthest = max(self._furthest, end)

    def is_covered_by_peers(self, now: float) -> bool:
        """Whether enough peers follow the topic at the store."""
        return is_covered_by_peers(self._book, self._topic, now)

    def find_confirmed_at(self, position: int) -> float:
        """Return when the store held nothing after a position, as told."""
        return find_confirmed_at(self._book, self._topic, position)

    def may_wait(self, position: int, now: float) -> bool:
        """Whether nothing is missing, or it may still be on its way here."""
        told = find_latest_offset(self._book, self._topic, now)
        if max(told, self._furthest) <= position:
            self._missing_since = None
            return True
        if self._missing_since is None:
            self._missing_since = now
        return now - self._missing_since < _NEWS_LATE_S

    def record_progress(self) -> None:
        """Note that some of what was missing has come."""
        self._missing_since = None
