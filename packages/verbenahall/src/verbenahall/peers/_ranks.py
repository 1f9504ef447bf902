"""Ranks of the instances for a duty that one of them does for all."""

from typing import Final

from verbenahall.peers._state import PeerBook, find_heard, tell_whom
from verbenahall.routing import rank_by_rendezvous

#: A peer without a heartbeat for this long is left out of the ranking, in
#: seconds.
_LIVE_S: Final = 4.0


def find_rank(book: PeerBook, duty: str, now: float) -> int:
    """Return how many instances are ranked before this one for a duty.

    If heartbeats are sent within each data centre only, each data centre
    ranks its instances separately, and the data centres are ranked, too, so
    that all ranks differ. Instances of different data centres don't receive
    each other's heartbeats: one that takes a duty must first check that the
    duty is still open.
    """
    live = find_heard(book, now, _LIVE_S)
    centres = {book.data_centre}
    if len(tell_whom(book)) < len(book.peers):
        centres.update(peer.data_centre for peer in book.peers.values())
        live = [name for name in live if _is_local(book, name)]
    ranked = rank_by_rendezvous(duty, [*live, book.name])
    centre = rank_by_rendezvous(duty, centres).index(book.data_centre)
    return ranked.index(book.name) * len(centres) + centre


def list_first(book: PeerBook, duty: str, now: float, most: int) -> list[str]:
    """Return the names of the top-ranked live peers for a duty."""
    live = find_heard(book, now, _LIVE_S)
    return rank_by_rendezvous(duty, live)[:most]


def _is_local(book: PeerBook, name: str) -> bool:
    return book.peers[name].data_centre == book.data_centre
