"""Which peers there are, and when each one is told the next time."""

import dataclasses
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, final

#: A peer that was heard within this time is told of every change, one that
#: was not only now and then, in seconds.
_HEARD_S: Final = 3.0
_SILENT_EVERY_S: Final = 2.0
#: Shortest time between two words to one peer, in seconds: a little under the
#: tick of 0.1 s, whose rounding would otherwise leave out every second one.
_LEAST_EVERY_S: Final = 0.09
#: Words that an instance sends in a second at most. A word costs sender and
#: receiver some 0.1 ms of processor time each, so this is about 1% of a core.
_WORDS_A_SECOND: Final = 60
#: From so many peers on only those of the own data centre are told. They are
#: a fair sample of all, and telling all takes more processor time than the
#: requests.
_MANY_PEERS: Final = 20
#: A peer that hears nothing doubts the last word after 1.5 s.
_MOST_EVERY_S: Final = 0.6
#: A peer that was heard at all lately, but not within the shorter time, has
#: fallen silent; both in seconds.
_SILENT_AFTER_S: Final = 1.5
_LATELY_S: Final = 30.0
#: Peers that are remembered.
_MAX_PEERS: Final = 2048
_NOTHING: Final[Mapping[str, int]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedOffset:
    """What a peer has read of a topic, and when the store confirmed it.

    ``offset`` is that of the next record, and ``at`` the monotonic time of
    this instance at which there surely was no newer one.
    """

    offset: int
    at: float


@final
class Peer:
    """One peer: its address, its processor, when it was heard and told."""

    __slots__ = (
        'address',
        'confirmed',
        'cores',
        'data_centre',
        'followed',
        'heard_at',
        'told_at',
        'number',
    )

    def __init__(self, address: str, data_centre: str) -> None:
        self.address = address
        self.confirmed: Mapping[str, ConfirmedOffset] = {}
        self.cores: float = 1
        self.data_centre = data_centre
        self.followed = _NOTHING
        self.heard_at = -float('inf')
        self.told_at = -float('inf')
        self.number = -1


@final
class PeerBook:
    """The peers by name; the own name is never among them.

    ``cores`` is what this instance may use of the processor.
    """

    __slots__ = ('cores', 'data_centre', 'name', 'peers')

    def __init__(
        self,
        name: str,
        data_centre: str = '',
        cores: float = 1,
    ) -> None:
        """Start without peers, in a data centre."""
        self.cores = cores
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}


def greet(
    book: PeerBook,
    name: str,
    address: str,
    data_centre: str = '',
    cores: float = 1,
) -> None:
    """Take a peer's address, from the store or from its datagram."""
    if name == book.name:
        return
    peer = book.peers.get(name)
    if peer is None and len(book.peers) >= _MAX_PEERS:
        return
    # A replaced machine has the name at another address and counts anew.
    if peer is None or peer.address != address:
        peer = Peer(address, data_centre)
        book.peers[name] = peer
    peer.cores = cores


def hear(
    book: PeerBook,
    name: str,
    number: int,
    now: float,
    followed: Mapping[str, int] = _NOTHING,
    confirmed: Mapping[str, ConfirmedOffset] | None = None,
) -> bool:
    """Note a peer's word; False when a newer one was heard before."""
    peer = book.peers.get(name)
    if peer is None:
        return False
    restarted = now - peer.heard_at > _HEARD_S or number == 0
    if number <= peer.number and not restarted:
        return False
    peer.number = number
    peer.heard_at = now
    peer.followed = followed
    peer.confirmed = confirmed or {}
    return True


def choose_due(book: PeerBook, now: float) -> Iterator[str]:
    """Yield the addresses of the peers that are told now."""
    told = tell_whom(book)
    every = max(_LEAST_EVERY_S, len(told) / _WORDS_A_SECOND)
    every = min(every, _MOST_EVERY_S)
    for peer in told:
        heard = now - peer.heard_at < _HEARD_S
        pause = every if heard else _SILENT_EVERY_S
        if now - peer.told_at >= pause:
            peer.told_at = now
            yield peer.address


def tell_whom(book: PeerBook) -> list[Peer]:
    """Return the peers that are told: all, or a sample when they are many."""
    peers = list(book.peers.values())
    if not is_sampled(book):
        return peers
    return [peer for peer in peers if peer.data_centre == book.data_centre]


def is_sampled(book: PeerBook) -> bool:
    """Whether only the peers of the own data centre are told and heard."""
    return len(book.peers) > _MANY_PEERS


def find_missing(book: PeerBook, now: float) -> bool:
    """Whether a peer has fallen silent lately."""
    return any(
        _SILENT_AFTER_S < now - peer.heard_at < _LATELY_S
        for peer in book.peers.values()
    )


def find_heard(book: PeerBook, now: float, within_s: float) -> list[str]:
    """Return the names of the peers that were heard lately."""
    return [
        name
        for name, peer in book.peers.items()
        if now - peer.heard_at < within_s
    ]


def find_scale(book: PeerBook) -> float:
    """Return how many instances there are for each one that is told."""
    told = len(tell_whom(book)) + 1
    return (len(book.peers) + 1) / told
