"""The known peers, and when each one is due for a heartbeat."""

import dataclasses
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, final

from verbenahall.capacity import Demands

#: A peer whose last heartbeat is younger than this is live and is sent
#: heartbeats at the full rate, in seconds.
_LIVE_S: Final = 3.0
#: Interval of the heartbeats to a peer that is not live, in seconds.
_UNRESPONSIVE_INTERVAL_S: Final = 2.0
#: Shortest interval between two heartbeats to one peer, in seconds. It is a
#: little under the tick of 0.1 s: otherwise rounding would skip every second
#: one.
_MIN_INTERVAL_S: Final = 0.09
#: Heartbeats that an instance sends per second at most. A heartbeat costs
#: sender and receiver about 0.1 ms of processor time each, so this is about 1%
#: of a core.
_MAX_HEARTBEATS_PER_S: Final = 60
#: With more peers than this, heartbeats go to those of the local data centre
#: only. They are a representative sample, and heartbeats to all would take
#: more processor time than the requests.
_MAX_PEERS_FOR_ALL: Final = 20
#: Longest interval between two heartbeats to a live peer, in seconds. A peer
#: discards the last heartbeat after 1.5 s without a new one.
_MAX_INTERVAL_S: Final = 0.6
#: A peer became unresponsive lately if its last heartbeat is older than the
#: first and younger than the second of these times, in seconds.
_TIMEOUT_S: Final = 1.5
_EXPIRED_AFTER_S: Final = 30.0
#: Peers that are kept at most.
_MAX_PEERS: Final = 2048
_NO_POSITIONS: Final[Mapping[str, int]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedPosition:
    """How far a peer has read a topic, and when the store confirmed it.

    ``position`` is that of the next record, and ``at`` a time of the local
    monotonic clock at which the store held no newer record.
    """

    position: int
    at: float


@final
class Peer:
    """One peer: its address, its cores, and its last heartbeat.

    ``last_heartbeat_at`` is when its last heartbeat was received,
    ``last_sent_at`` when the last one was sent to it, and ``number`` the number
    of the last one received. ``unreachable`` holds the services of which the
    peer reaches no endpoint. ``connection_rate`` is how many new connections it
    gets per second, None if it has not stated it. ``demand`` is what it sends
    to the services that are scaled. ``link_megabits`` is the bandwidth of its
    link in Mbit/s, 0 if it has not stated it.
    """

    __slots__ = (
        'address',
        'confirmed',
        'connection_rate',
        'cores',
        'data_centre',
        'demand',
        'followed_positions',
        'last_heartbeat_at',
        'last_sent_at',
        'link_megabits',
        'number',
        'unreachable',
    )

    def __init__(self, address: str, data_centre: str) -> None:
        self.address = address
        self.confirmed: Mapping[str, ConfirmedPosition] = {}
        self.connection_rate: float | None = None
        self.cores: float = 1
        self.data_centre = data_centre
        self.demand: Demands = {}
        self.followed_positions = _NO_POSITIONS
        self.last_heartbeat_at = -float('inf')
        self.last_sent_at = -float('inf')
        self.link_megabits: float = 0
        self.number = -1
        self.unreachable: frozenset[str] = frozenset()


@final
class PeerTable:
    """The known peers by name, without this instance itself.

    ``cores`` is how many processor cores this instance may use, and
    ``link_megabits`` the bandwidth of its link in Mbit/s.
    """

    __slots__ = ('cores', 'data_centre', 'link_megabits', 'name', 'peers')

    def __init__(
        self,
        name: str,
        data_centre: str = '',
        cores: float = 1,
        link_megabits: float = 0,
    ) -> None:
        """Create an empty table for an instance and its data centre."""
        self.cores = cores
        self.link_megabits = link_megabits
        self.name = name
        self.data_centre = data_centre
        self.peers: dict[str, Peer] = {}


def add_peer(
    peer_table: PeerTable,
    name: str,
    address: str,
    data_centre: str = '',
    cores: float = 1,
) -> None:
    """Add a peer, or update its address and cores.

    The address comes from the store or from a heartbeat. A new peer is
    ignored if the table is full.
    """
    if name == peer_table.name:
        return
    peer = peer_table.peers.get(name)
    if peer is None and len(peer_table.peers) >= _MAX_PEERS:
        return
    # A replacement machine has the same name at another address, and its
    # heartbeat numbers start again.
    if peer is None or peer.address != address:
        peer = Peer(address, data_centre)
        peer_table.peers[name] = peer
    peer.cores = cores


def record_heartbeat(
    peer_table: PeerTable,
    name: str,
    number: int,
    now: float,
    followed_positions: Mapping[str, int] = _NO_POSITIONS,
    confirmed: Mapping[str, ConfirmedPosition] | None = None,
) -> bool:
    """Record a peer's heartbeat; return False if it is to be dropped.

    It is dropped if a newer one was received before or the peer is unknown.
    """
    peer = peer_table.peers.get(name)
    if peer is None:
        return False
    restarted = now - peer.last_heartbeat_at > _LIVE_S or number == 0
    if number <= peer.number and not restarted:
        return False
    peer.number = number
    peer.last_heartbeat_at = now
    peer.followed_positions = followed_positions
    peer.confirmed = confirmed or {}
    return True


def choose_due(peer_table: PeerTable, now: float) -> Iterator[str]:
    """Yield the addresses of the peers that are due, and mark them as sent."""
    recipients = list_recipients(peer_table)
    interval_s = max(_MIN_INTERVAL_S, len(recipients) / _MAX_HEARTBEATS_PER_S)
    interval_s = min(interval_s, _MAX_INTERVAL_S)
    for peer in recipients:
        is_live = now - peer.last_heartbeat_at < _LIVE_S
        pause_s = interval_s if is_live else _UNRESPONSIVE_INTERVAL_S
        if now - peer.last_sent_at >= pause_s:
            peer.last_sent_at = now
            yield peer.address


def list_recipients(peer_table: PeerTable) -> list[Peer]:
    """Return the peers that heartbeats go to.

    In a large fleet these are only the peers of the local data centre.
    """
    peers = list(peer_table.peers.values())
    if not is_local_only(peer_table):
        return peers
    return [
        peer for peer in peers if peer.data_centre == peer_table.data_centre
    ]


def is_local_only(peer_table: PeerTable) -> bool:
    """Whether heartbeats are exchanged within the local data centre only."""
    return len(peer_table.peers) > _MAX_PEERS_FOR_ALL


def has_unresponsive_peer(peer_table: PeerTable, now: float) -> bool:
    """Whether heartbeats of a peer that was live lately are missing."""
    return any(
        _TIMEOUT_S < now - peer.last_heartbeat_at < _EXPIRED_AFTER_S
        for peer in peer_table.peers.values()
    )


def list_live_peers(
    peer_table: PeerTable, now: float, within_s: float
) -> list[str]:
    """Return the names of the peers with a heartbeat within some seconds."""
    return [
        name
        for name, peer in peer_table.peers.items()
        if now - peer.last_heartbeat_at < within_s
    ]


def find_scale(peer_table: PeerTable) -> float:
    """Return the number of instances over the number that exchange heartbeats.

    Load known from heartbeats is multiplied by it to estimate the whole load.
    """
    sampled = len(list_recipients(peer_table)) + 1
    return (len(peer_table.peers) + 1) / sampled
