"""Instances that get store updates from other data centres.

In a large fleet updates are sent within a data centre only. If the store
refuses all its followers there, or they are slow, nobody else would learn of a
change. So updates also go to a few instances of each other data centre, which
forward them unless a local follower has sent the same.
"""

import itertools
from collections.abc import Sequence
from typing import Final

from verbenahall.peers._state import Peer, PeerTable, is_local_only
from verbenahall.routing import rank_by_rendezvous

#: Instances of a data centre that get the updates of the others.
_CONTACTS: Final = 3


def list_contacts(peer_table: PeerTable, topic: str) -> Sequence[Peer]:
    """Return the peers in other data centres that updates go to."""
    if not is_local_only(peer_table):
        return ()
    centres: dict[str, list[str]] = {}
    for name, peer in peer_table.peers.items():
        if peer.data_centre != peer_table.data_centre:
            centres.setdefault(peer.data_centre, []).append(name)
    ranked = (rank_by_rendezvous(topic, found) for found in centres.values())
    chosen = itertools.chain.from_iterable(one[:_CONTACTS] for one in ranked)
    return [peer_table.peers[contact] for contact in chosen]


def find_contact_rank(peer_table: PeerTable, topic: str) -> int | None:
    """Return this instance's rank among the contacts, None if it is none."""
    local = [
        name
        for name, peer in peer_table.peers.items()
        if peer.data_centre == peer_table.data_centre
    ]
    ranked = rank_by_rendezvous(topic, [*local, peer_table.name])
    rank = ranked.index(peer_table.name)
    return rank if rank < _CONTACTS else None


def is_local_author(peer_table: PeerTable, author: str) -> bool:
    """Whether an update's author sends its updates to this data centre."""
    peer = peer_table.peers.get(author)
    return (
        not is_local_only(peer_table)
        or peer is None
        or peer.data_centre == peer_table.data_centre
    )
