"""Ranks of the instances for a duty that one of them does for all."""

from typing import Final

from verbenahall.peers._state import PeerTable, list_live_peers, list_recipients
from verbenahall.routing import rank_by_rendezvous

#: A peer without a heartbeat for this long is left out of the ranking, in
#: seconds.
_LIVE_S: Final = 4.0


def find_rank(peer_table: PeerTable, duty: str, now: float) -> int:
    """Return how many instances are ranked before this one for a duty.

    If heartbeats are sent within each data centre only, each data centre
    ranks its instances separately, and the data centres are ranked, too, so
    that all ranks differ. Instances of different data centres don't receive
    each other's heartbeats, so before an instance performs a duty, it must
    check that no other one does.
    """
    centres = {peer_table.data_centre}
    if len(list_recipients(peer_table)) < len(peer_table.peers):
        centres.update(peer.data_centre for peer in peer_table.peers.values())
    centre = rank_by_rendezvous(duty, centres).index(peer_table.data_centre)
    rank = find_local_rank(peer_table, duty, now)
    return rank * len(centres) + centre


def find_local_rank(peer_table: PeerTable, duty: str, now: float) -> int:
    """Return the rank among the live instances that exchange heartbeats.

    In a large fleet these are the instances of one data centre.
    """
    live = list_live_peers(peer_table, now, _LIVE_S)
    if len(list_recipients(peer_table)) < len(peer_table.peers):
        live = [name for name in live if _is_local(peer_table, name)]
    ranked = rank_by_rendezvous(duty, [*live, peer_table.name])
    return ranked.index(peer_table.name)


def list_top_ranked(
    peer_table: PeerTable, duty: str, now: float, limit: int
) -> list[str]:
    """Return the names of the top-ranked live peers for a duty."""
    live = list_live_peers(peer_table, now, _LIVE_S)
    return rank_by_rendezvous(duty, live)[:limit]


def _is_local(peer_table: PeerTable, name: str) -> bool:
    return peer_table.peers[name].data_centre == peer_table.data_centre
