"""Ranks of the instances for a duty that one of them does for all."""

import pytest

from verbenahall.peers import PeerTable, add_peer, find_rank, record_heartbeat

CENTRES = ('ain', 'fes', 'sidi')


def make_peer_table(own, names, live, now=10):
    """Return an instance's peer table with heartbeats of the live peers."""
    centre, _, _ = own.partition('-')
    peer_table = PeerTable(own, centre)
    for number, name in enumerate(names):
        peer_centre, _, _ = name.partition('-')
        add_peer(peer_table, name, f'10.0.0.{number}:7380', peer_centre)
        if name in live:
            record_heartbeat(peer_table, name, 1, now)
    return peer_table


def rank_all(per_centre):
    """Return the ranks of all instances of a fleet."""
    names = [
        f'{centre}-{number}'
        for centre in CENTRES
        for number in range(per_centre)
    ]
    sampled = len(names) > 21
    return [
        find_rank(
            make_peer_table(
                own,
                names,
                [name for name in names if not sampled or name[:3] == own[:3]],
            ),
            'roles',
            10,
        )
        for own in names
    ]


@pytest.mark.parametrize('per_centre', [2, 20])
def test_ranks_are_all_different(per_centre):
    """In a large fleet heartbeats stay within each data centre.

    If each data centre had an instance with rank 0, as many instances as
    there are data centres would order engines at the same time, and read the
    lease three times a second.
    """
    assert sorted(rank_all(per_centre)) == list(range(3 * per_centre))


def test_unresponsive_instance_is_left_out_of_the_ranking():
    """The first-ranked instance of the local data centre dies."""
    names = [f'ain-{number}' for number in range(4)]
    ranks = {
        own: find_rank(make_peer_table(own, names, names), 'roles', 10)
        for own in names
    }
    first = min(names, key=ranks.get)
    second = min(set(names) - {first}, key=ranks.get)
    live = set(names) - {first}

    assert find_rank(make_peer_table(second, names, live), 'roles', 10) == 0
