"""The choice of the peer that serves a request."""

import random

import pytest
from returns.maybe import Nothing

from verbenahall.forwarding import OpenForwards, choose_peer, is_frozen
from verbenahall.peers import PeerTable, add_peer

NOW = 100.0


def make_table(local=3, remote=2):
    """Return a table of live peers in the local and another data centre."""
    table = PeerTable('front-0', 'lampeter')
    for number in range(local + remote):
        centre = 'lampeter' if number < local else 'cardigan'
        name = f'{centre}-{number}'
        add_peer(table, name, f'10.0.0.{number}:7380', centre)
        table.peers[name].last_heartbeat_at = NOW
    return table


def choose(table, open_forwards=None, tried=()):
    """Return the name of the chosen peer, empty for none."""
    found = choose_peer(
        table,
        open_forwards or OpenForwards(),
        'pages',
        tried,
        NOW,
        random.Random(7),
    )
    return found.map(lambda peer: peer.name).value_or('')


def test_local_peers_share_the_requests():
    table = make_table()
    open_forwards = OpenForwards()
    for _ in range(9):
        open_forwards.begin(choose(table, open_forwards))
    local = [open_forwards.sent[f'lampeter-{number}'] for number in range(3)]
    remote = [open_forwards.sent[f'cardigan-{number}'] for number in (3, 4)]
    assert sum(local) + sum(remote) == 9
    assert max(local) - min(local) <= 1
    assert max(remote) <= max(local) - 2


def test_peer_that_does_not_reach_the_service_is_not_chosen():
    table = make_table(local=2, remote=1)
    for name, peer in table.peers.items():
        if 'lampeter' in name:
            peer.unreachable = frozenset(('pages',))
    assert choose(table) == 'cardigan-2'


@pytest.mark.parametrize('age_s', [1.1, 60])
def test_peer_without_a_fresh_heartbeat_is_not_chosen(age_s):
    table = make_table(local=1, remote=0)
    table.peers['lampeter-0'].last_heartbeat_at = NOW - age_s
    assert choose(table) == ''


def test_no_peer_is_tried_twice():
    table = make_table(local=2, remote=1)
    tried = set()
    for _ in range(3):
        tried.add(choose(table, tried=tried))
    assert tried == set(table.peers)
    assert choose(table, tried=tried) == ''


def test_large_fleet_tries_other_data_centres_if_no_local_peer_serves():
    # Heartbeats stay within a data centre there. If all of it is cut off, only
    # peers of unknown reach are left.
    table = make_table(local=12, remote=12)
    for name, peer in table.peers.items():
        if 'lampeter' in name:
            peer.unreachable = frozenset(('pages',))
        else:
            peer.last_heartbeat_at = -float('inf')
    assert 'cardigan' in choose(table)


def test_open_requests_are_counted_until_their_end():
    open_forwards = OpenForwards()
    open_forwards.begin('front-1')
    open_forwards.begin('front-1')
    open_forwards.end('front-1')
    assert open_forwards.sent['front-1'] == 1
    open_forwards.end('front-1')
    assert not open_forwards.sent
    table = PeerTable('front-0')
    assert (
        choose_peer(table, open_forwards, 'pages', (), NOW, random.Random(1))
        == Nothing
    )


@pytest.mark.parametrize(
    ('age_s', 'frozen'),
    [(0, False), (1.4, False), (1.6, True), (float('inf'), False)],
)
def test_only_a_peer_that_sent_heartbeats_may_be_frozen(age_s, frozen):
    # No heartbeats come from the other data centres of a large fleet.
    table = PeerTable('front-1')
    add_peer(table, 'front-2', '127.0.0.1:1')
    table.peers['front-2'].last_heartbeat_at = NOW - age_s
    assert is_frozen(table, 'front-2', NOW) is frozen


def test_peer_that_is_no_longer_known_counts_as_frozen():
    assert is_frozen(PeerTable('front-1'), 'front-2', NOW)
