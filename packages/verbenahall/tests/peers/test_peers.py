"""Instances exchange their open work in heartbeats at a bounded rate."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.capacity import Demand
from verbenahall.engine_speeds import ReportedFactor
from verbenahall.peers import (
    Heartbeat,
    PeerTable,
    add_peer,
    choose_due,
    decode_message,
    encode_heartbeat,
    record_heartbeat,
)
from verbenahall.peers import _state as state
from verbenahall.placement import LoadTable, Totals


def test_heartbeat_is_encoded_and_decoded():
    heartbeat = Heartbeat(
        'front-1',
        7,
        {'engine-1': Totals(5, 600, 2)},
        followed_positions={'keyed.op': 4},
        factors=(ReportedFactor('engine-1', 1_767_225_600_000, 0.41, 0),),
        demand={'drafter': Demand(3.12, 14, 25.5)},
    )
    assert decode_message(encode_heartbeat(heartbeat)) == Some(heartbeat)


def test_heartbeat_without_demand_has_no_field_for_it():
    # Deployments that are not scaled must send the heartbeats of before, and
    # get those of instances that do not know the field.
    heartbeat = Heartbeat('front-1', 7, {})
    assert b'demand' not in encode_heartbeat(heartbeat)
    assert decode_message(encode_heartbeat(heartbeat)) == Some(heartbeat)


@pytest.mark.parametrize(
    'datagram',
    [b'', b'\xff\xfe', b'[]', b'{"from":"a"}', b'{"from":"a","n":1,"load":3}'],
)
def test_other_datagrams_are_rejected(datagram):
    assert decode_message(datagram) is Nothing


@pytest.mark.parametrize(
    'field',
    [
        b'"load":{"e":[1,2,3,4]}',
        b'"load":{"e":["x",2,3]}',
        b'"speed":["fast"]',
        b'"speed":[null]',
        b'"changing":[["engine-1"]]',
        b'"changing":[5]',
        b'"followed":{"keyed.op":"4"}',
        b'"followed":[]',
        b'"factors":[["engine-1",1,410,0]]',
        b'"factors":{"engine-1":[1,410]}',
        b'"factors":{"engine-1":[1,-410,0]}',
        b'"factors":{"engine-1":[1,NaN,0]}',
        b'"demand":[]',
        b'"demand":{"drafter":[1]}',
        b'"demand":{"drafter":["x",2]}',
        b'"demand":{"drafter":[-1,2]}',
    ],
)
def test_heartbeat_with_an_invalid_field_is_rejected(field):
    # An instance of another version sends a field of another type. If the
    # error were raised in the socket's callback, it would be missing from the
    # decision log, and half of the heartbeat would have been applied.
    given = field.split(b':')[0]
    others = (
        b'"load":{}',
        b'"changing":[]',
        b'"speed":[]',
        b'"followed":{}',
    )
    kept = [one for one in others if not one.startswith(given)]
    start = [b'"from":"a"', b'"n":1', b'"dc":"z"', b'"cores":1']
    valid = b'{%b}' % b','.join([*start, *others])
    assert isinstance(decode_message(valid), Some)
    datagram = b'{%b}' % b','.join([*start, *kept, field])
    assert decode_message(datagram) is Nothing


def test_known_peer_gets_its_new_address_in_a_full_table(monkeypatch):
    # The table of peers is full, and the machine of one of them is replaced.
    # If its address were not updated, it would never get a heartbeat of this
    # instance again.
    monkeypatch.setattr(state, '_MAX_PEERS', 1)
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-2', '10.0.0.2:7380')
    add_peer(peer_table, 'front-3', '10.0.0.3:7380')
    add_peer(peer_table, 'front-2', '10.0.0.9:7380')
    assert list(choose_due(peer_table, 0)) == ['10.0.0.9:7380']


def test_reordered_heartbeat_is_dropped():
    # Two datagrams arrive in the wrong order. By the older one an engine that
    # has just been given a long prompt would count as idle.
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-2', '10.0.0.2:7380')
    assert record_heartbeat(peer_table, 'front-2', 5, 1)
    assert not record_heartbeat(peer_table, 'front-2', 4, 1.1)


def test_heartbeats_of_a_restarted_peer_are_accepted():
    # A peer is restarted and numbers its heartbeats from zero. Compared with
    # the old numbers, they would be dropped for as long as it had run before.
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-2', '10.0.0.2:7380')
    record_heartbeat(peer_table, 'front-2', 500, 1)
    assert record_heartbeat(peer_table, 'front-2', 0, 1.5)
    assert record_heartbeat(peer_table, 'front-2', 1, 1.6)


def test_own_name_is_no_peer():
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-1', '10.0.0.1:7380')
    assert not peer_table.peers


def test_replaced_machine_gets_heartbeats_at_its_new_address():
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-2', '10.0.0.2:7380')
    add_peer(peer_table, 'front-2', '10.0.0.9:7380')
    assert list(choose_due(peer_table, 0)) == ['10.0.0.9:7380']


def test_unresponsive_peer_gets_few_heartbeats():
    # A machine is gone for good. At the full rate its heartbeats would be
    # wasted for ever; without any, a peer could not be rediscovered after a
    # network partition.
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'gone', '10.0.0.2:7380')
    add_peer(peer_table, 'there', '10.0.0.3:7380')
    sent = []
    for tick in range(100):
        record_heartbeat(peer_table, 'there', tick + 1, tick / 10)
        sent.extend(choose_due(peer_table, tick / 10))
    assert sent.count('10.0.0.2:7380') <= 6
    assert sent.count('10.0.0.3:7380') >= 80


def test_rate_is_bounded_with_many_peers():
    peer_table = PeerTable('front-1')
    for number in range(90):
        add_peer(peer_table, f'p{number}', f'10.0.0.{number}:7380')
        record_heartbeat(peer_table, f'p{number}', 0, 0)
    sent = 0
    for tick in range(1, 21):
        for number in range(90):
            record_heartbeat(peer_table, f'p{number}', tick, tick / 10)
        sent += len(list(choose_due(peer_table, tick / 10)))
    assert sent <= 90 * 5


def test_load_of_an_unresponsive_peer_is_dropped():
    # An instance is killed with much work open. By its last heartbeat, engines
    # that have long been idle would still count as busy.
    load_table = LoadTable()
    load_table.set_peer_loads('front-2', {'engine-1': Totals(9000)}, now=1)
    assert load_table.totals('engine-1').prefill_tokens == 9000
    load_table.expire_peers(3)
    assert not load_table.totals('engine-1').prefill_tokens


def test_load_table_counts_local_sends_until_they_end():
    load_table = LoadTable()
    flight = load_table.open('engine-1', Totals(100, 200, 1))
    load_table.set_peer_loads('front-2', {'engine-1': Totals(10, 20, 1)}, now=1)
    assert load_table.totals('engine-1') == Totals(110, 220, 2)
    load_table.close(flight)
    load_table.close(flight)
    assert load_table.totals('engine-1') == Totals(10, 20, 1)
    assert not load_table.local_loads()
