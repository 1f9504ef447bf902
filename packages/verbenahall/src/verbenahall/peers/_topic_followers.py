"""Which of the instances follow the store for the others.

A change costs the store one call for each instance that follows it. So two of
those that hear each other follow it, and pass on what they read. Nobody is
appointed: an instance follows the store unless it hears, from two that stand
before it, that they are in touch with it. Whoever is silent, frozen, cut off
or refused by the store is thus made up for within some 1.2 seconds.
"""

from collections.abc import Iterator
from typing import Final

from verbenahall.peers._state import PeerBook
from verbenahall.routing import rank_by_rendezvous

#: Watchers among the instances that hear each other; with one, every kill of
#: it would leave the others without news for the time below.
_WATCHERS: Final = 2
#: A peer that was not heard for this long counts as away, in seconds: twice
#: the longest pause between two words. A change must be in force two seconds
#: after the store's word.
_HEARD_S: Final = 1.2


def is_covered_by_peers(book: PeerBook, topic: str, now: float) -> bool:
    """Tell whether enough peers that stand before this one follow a topic."""
    watchers = [name for name, _ in _find_watchers(book, topic, now)]
    if len(watchers) < _WATCHERS:
        return False
    ranked = rank_by_rendezvous(topic, [*watchers, book.name])
    return ranked.index(book.name) >= _WATCHERS


def find_latest_offset(book: PeerBook, topic: str, now: float) -> int:
    """Return how far a topic goes by what the peers tell, 0 if none does."""
    offsets = (offset for _, offset in _find_watchers(book, topic, now))
    return max(offsets, default=0)


def find_confirmed_at(book: PeerBook, topic: str, position: int) -> float:
    """Return when the store last confirmed that nothing follows a position.

    Minus infinity if no peer tells so. What is told of an earlier place holds
    for a later one: whoever has read further knows all that was there then.
    """
    confirmed = (
        peer.confirmed[topic]
        for peer in book.peers.values()
        if topic in peer.confirmed
    )
    times = (one.at for one in confirmed if one.offset <= position)
    return max(times, default=-float('inf'))


def _find_watchers(
    book: PeerBook,
    topic: str,
    now: float,
) -> Iterator[tuple[str, int]]:
    """Yield who is heard and follows the topic, and how far.

    Whoever sends its words here sends its news here, too.
    """
    for name, peer in book.peers.items():
        if topic in peer.followed and now - peer.heard_at < _HEARD_S:
            yield name, peer.followed[topic]
