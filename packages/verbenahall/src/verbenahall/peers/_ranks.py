"""Who does first what one instance has to do for all."""

from typing import Final

from verbenahall.peers._state import PeerBook, find_heard, tell_whom
from verbenahall.routing import rank_by_rendezvous

#: A peer that was not heard for this long stands before nobody, in seconds.
_HEARD_S: Final = 4.0


def find_rank(book: PeerBook, duty: str, now: float) -> int:
    """Return how many instances stand before this one for a duty.

    Where only the own data centre is heard, each data centre has a first one
    of its own, and these stand in an order, too. They do not hear each other,
    so one whose turn comes must look whether the duty is still open.
    """
    heard = find_heard(book, now, _HEARD_S)
    centres = {book.data_centre}
    if len(tell_whom(book)) < len(book.peers):
        centres.update(peer.data_centre for peer in book.peers.values())
        heard = [name for name in heard if _is_near(book, name)]
    ranked = rank_by_rendezvous(duty, [*heard, book.name])
    centre = rank_by_rendezvous(duty, centres).index(book.data_centre)
    return ranked.index(book.name) * len(centres) + centre


def list_first(book: PeerBook, duty: str, now: float, most: int) -> list[str]:
    """Return the names of the heard peers that stand first for a duty."""
    heard = find_heard(book, now, _HEARD_S)
    return rank_by_rendezvous(duty, heard)[:most]


def _is_near(book: PeerBook, name: str) -> bool:
    return book.peers[name].data_centre == book.data_centre
