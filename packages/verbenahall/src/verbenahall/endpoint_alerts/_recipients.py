"""The peers that get an alert, relay it, and probe its endpoint."""

import collections
from collections.abc import Sequence
from typing import Final

from verbenahall.peers import Peer, PeerTable
from verbenahall.roster import Incarnation
from verbenahall.routing import rank_by_rendezvous

#: Instances of a data centre that probe an endpoint at once after an alert.
_PROBERS: Final = 2


def list_local(peer_table: PeerTable) -> Sequence[Peer]:
    """Return the peers of the own data centre."""
    return [
        peer
        for peer in peer_table.peers.values()
        if peer.data_centre == peer_table.data_centre
    ]


def list_relays(
    peer_table: PeerTable, incarnation: Incarnation, copy: int
) -> Sequence[Peer]:
    """Return a peer of each other data centre for a copy of an alert.

    All instances choose the same ones, so that a relay gets the alerts of
    several instances and passes on one. Each copy goes to another peer, as the
    first may be down: of other data centres there are no heartbeats.
    """
    names: dict[str, list[str]] = collections.defaultdict(list)
    for peer_name, peer in peer_table.peers.items():
        if peer.data_centre != peer_table.data_centre:
            names[peer.data_centre].append(peer_name)
    relays = [
        rank_by_rendezvous(_make_key(incarnation), group)[copy % len(group)]
        for group in names.values()
    ]
    return [peer_table.peers[name] for name in relays]


def is_prober(peer_table: PeerTable, incarnation: Incarnation) -> bool:
    """Whether this instance probes an endpoint at once after an alert."""
    names = [
        peer_name
        for peer_name, peer in peer_table.peers.items()
        if peer.data_centre == peer_table.data_centre
    ]
    names.append(peer_table.name)
    ranked = rank_by_rendezvous(_make_key(incarnation), names)
    return peer_table.name in ranked[:_PROBERS]


def _make_key(incarnation: Incarnation) -> str:
    return '{}/{}'.format(*incarnation)
