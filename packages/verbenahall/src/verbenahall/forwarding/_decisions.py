"""Chooses the peer for a request, and decides on received ones."""

import math
import random
from collections.abc import Collection, Iterable
from typing import Final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.forwarding._messages import Hop, HopRefusal
from verbenahall.forwarding._state import (
    ChosenPeer,
    OpenForwards,
    PeerCandidate,
    ReceiverState,
)
from verbenahall.peers import PeerTable, is_local_only, list_live_peers

#: A peer is a candidate for this long after its last heartbeat, in seconds.
_PEER_TIMEOUT_S: Final = 1.0
#: A peer whose heartbeats have ended for this long is taken for frozen or
#: dead, in seconds. A sound one may pause for a second.
_FROZEN_S: Final = 1.5
#: Open requests by which a peer in another data centre counts as busier than a
#: local one: bytes between data centres cost money and time.
_REMOTE_LOAD: Final = 2
#: Forwarded requests that an instance serves at a time at most. Beyond that its
#: own callers would hardly be served.
_MAX_RECEIVED: Final = 256


def choose_peer(
    peer_table: PeerTable,
    open_forwards: OpenForwards,
    service: str,
    tried: Collection[str],
    now: float,
    rng: random.Random,
) -> Maybe[ChosenPeer]:
    """Choose the least busy peer that reaches a service, not one in ``tried``.

    Where heartbeats stay within a data centre, it is unknown what other peers
    reach; one of them is chosen if no local one reaches the service.
    """
    peers = peer_table.peers
    candidates = [
        name
        for name in list_live_peers(peer_table, now, _PEER_TIMEOUT_S)
        if name not in tried and service not in peers[name].unreachable
    ]
    if not candidates and is_local_only(peer_table):
        candidates = [
            name
            for name, peer in peers.items()
            if name not in tried and peer.data_centre != peer_table.data_centre
        ]
    return choose_least_busy(
        (
            PeerCandidate(
                name,
                peers[name].address,
                is_local=peers[name].data_centre == peer_table.data_centre,
            )
            for name in candidates
        ),
        open_forwards,
        rng,
    )


def is_frozen(peer_table: PeerTable, name: str, now: float) -> bool:
    """Whether a peer has sent heartbeats and has stopped."""
    peer = peer_table.peers.get(name)
    return peer is None or _FROZEN_S < now - peer.last_heartbeat_at < math.inf


def choose_least_busy(
    candidates: Iterable[PeerCandidate],
    open_forwards: OpenForwards,
    rng: random.Random,
) -> Maybe[ChosenPeer]:
    """Choose the peer with the fewest open requests of this instance."""
    chosen = min(
        candidates,
        key=lambda one: (
            open_forwards.sent[one.name] + _REMOTE_LOAD * (not one.is_local),
            rng.random(),
        ),
        default=None,
    )
    if chosen is None:
        return Nothing
    return Some(ChosenPeer(chosen.name, chosen.address))


def find_refusal(hop: Hop, receiver: ReceiverState) -> HopRefusal | None:
    """Return why a forwarded request is refused, None if it is served."""
    obstacles = (
        (not receiver.is_known_author, HopRefusal.UNKNOWN_AUTHOR),
        (receiver.is_stopping, HopRefusal.STOPPING),
        (receiver.version < hop.version, HopRefusal.OLD_SETTINGS),
        (receiver.is_lost, HopRefusal.UNREACHABLE),
        (receiver.open_requests >= _MAX_RECEIVED, HopRefusal.TOO_MANY),
    )
    return next((reason for applies, reason in obstacles if applies), None)
