"""Which peers there are, and when each one is told the next time."""

from collections.abc import Iterator
from typing import Final, final

#: A peer that was heard within this time is told of every change, one that
#: was not only now and then, in seconds.
_HEARD_S: Final = 3.0
_SILENT_EVERY_S: Final = 2.0
#: Shortest time between two words to one peer, in seconds, and what each
#: peer adds to it: with many peers an instance would otherwise spend its
#: processor on datagrams. A little under the tick of 0.1 s, whose rounding
#: would otherwise leave out every second one.
_LEAST_EVERY_S: Final = 0.09
_EVERY_PER_PEER_S: Final = 0.008
_PEERS_AT_ONCE: Final = 10
#: A peer that hears nothing doubts the last word after 1.5 s.
_MOST_EVERY_S: Final = 0.6
#: Peers that are remembered.
_MOST_PEERS: Final = 2048


@final
class _Peer:
    """One peer's address, when it was heard and when it was told."""

    __slots__ = ('address', 'heard_at', 'told_at', 'number')

    def __init__(self, address: str) -> None:
        self.address = address
        self.heard_at = -float('inf')
        self.told_at = -float('inf')
        self.number = -1


@final
class PeerBook:
    """The peers by name; the own name is never among them."""

    __slots__ = ('name', 'peers')

    def __init__(self, name: str) -> None:
        """Start without peers."""
        self.name = name
        self.peers: dict[str, _Peer] = {}


def greet(book: PeerBook, name: str, address: str) -> None:
    """Take a peer's address, from the store or from its datagram."""
    if name == book.name or len(book.peers) >= _MOST_PEERS:
        return
    peer = book.peers.get(name)
    if peer is None:
        book.peers[name] = _Peer(address)
    elif peer.address != address:
        # A replaced machine has the name at another address and counts anew.
        book.peers[name] = _Peer(address)


def hear(book: PeerBook, name: str, number: int, now: float) -> bool:
    """Note a peer's word; False when a newer one was heard before."""
    peer = book.peers.get(name)
    if peer is None:
        return False
    restarted = now - peer.heard_at > _HEARD_S or number == 0
    if number <= peer.number and not restarted:
        return False
    peer.number = number
    peer.heard_at = now
    return True


def count_heard(book: PeerBook, now: float, within_s: float) -> int:
    """Return how many peers were heard lately."""
    heard = [
        peer for peer in book.peers.values() if peer.heard_at > now - within_s
    ]
    return len(heard)


def choose_due(book: PeerBook, now: float) -> Iterator[str]:
    """Yield the addresses of the peers that are told now."""
    every = _find_pace(len(book.peers))
    for peer in book.peers.values():
        heard = now - peer.heard_at < _HEARD_S
        pause = every if heard else _SILENT_EVERY_S
        if now - peer.told_at >= pause:
            peer.told_at = now
            yield peer.address


def _find_pace(peers: int) -> float:
    beyond = max(0, peers - _PEERS_AT_ONCE)
    every = _LEAST_EVERY_S + _EVERY_PER_PEER_S * beyond
    return min(every, _MOST_EVERY_S)
