"""Advertised rates: parsing, recording, permits, limiters and messages."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import PeerTable, add_peer, record_heartbeat
from verbenahall.throttling import (
    Denial,
    Permit,
    PermitRequest,
    RateNotice,
    RateTable,
    apply_notice,
    choose_limiter,
    decode,
    encode,
    find_rate_share,
    grant_permit,
    read_rate,
    record_no_rate,
    record_rate,
)

INCARNATION = 'e/1'


@pytest.mark.parametrize(
    ('texts', 'rate'),
    [
        (['2.5'], Some(2.5)),
        ([' 3 '], Some(3)),
        (['4', '2.5'], Some(2.5)),
        (['x', '2.5'], Some(2.5)),
        (['0.0001'], Some(0.2)),
        (['1e300'], Some(1e6)),
        ([], Nothing),
        ([''], Nothing),
        (['0'], Nothing),
        (['-1'], Nothing),
        (['nan'], Nothing),
        (['inf'], Nothing),
        (['two'], Nothing),
    ],
)
def test_advertised_rate_is_parsed_and_clamped(texts, rate):
    assert read_rate(texts) == rate


def test_answer_to_an_older_request_does_not_remove_a_rate():
    """The response to a request from before the rate may arrive after it."""
    table = RateTable()
    record_rate(table, INCARNATION, 2, 10)
    assert not record_no_rate(table, INCARNATION, 9.9)
    assert INCARNATION in table.rates
    assert record_no_rate(table, INCARNATION, 10.1)
    assert INCARNATION not in table.rates


def test_repeated_notice_keeps_the_time_of_a_rate():
    """Otherwise each notice would delay the removal of a rate."""
    table = RateTable()
    record_rate(table, INCARNATION, 2, 10)
    assert not apply_notice(table, RateNotice(INCARNATION, 2), 20)
    assert record_no_rate(table, INCARNATION, 11)


def test_permits_are_spaced_and_do_not_accumulate():
    """A minute of accumulated permits would send sixty requests at once."""
    table = RateTable()
    permits = 0
    for step in range(1000):
        request = PermitRequest(step, INCARNATION, 2, 0)
        now = 100 + step * 0.01
        permits += isinstance(grant_permit(table, request, 1, now), Permit)
    assert permits in {19, 20}
    assert isinstance(
        grant_permit(table, PermitRequest(0, INCARNATION, 2, 0), 1, 200), Permit
    )
    denied = grant_permit(table, PermitRequest(0, INCARNATION, 2, 0), 1, 200)
    assert denied == Denial(0, 0.5)


def test_waiting_requests_are_spaced():
    table = RateTable()
    waits = [
        grant_permit(
            table, PermitRequest(key, INCARNATION, 2, 2.2), 1, 10
        ).wait_s
        for key in range(6)
    ]
    assert waits == [0.5, 1, 1.5, 2, 2.5, 2.5]


def make_peer_table(name, live, now, count=4):
    """Return a peer table of ``count`` instances.

    Those in ``live`` sent a heartbeat at ``now``.
    """
    names = [f'front-{number}' for number in range(count)]
    peer_table = PeerTable(name, 'here')
    for number, other in enumerate(names):
        add_peer(peer_table, other, f'10.0.0.{number}:1', 'here')
        if other in live and other != name:
            record_heartbeat(peer_table, other, 1, now)
    return peer_table


def test_connected_instances_choose_the_same_limiter():
    names = [f'front-{number}' for number in range(4)]
    chosen = {
        choose_limiter(
            RateTable(), make_peer_table(name, names, 9), INCARNATION, '', 10
        )
        for name in names
    }
    assert len(chosen) == 1


def test_live_limiter_is_kept_after_a_timeout():
    """Otherwise two instances would give permits at the same time."""
    names = [f'front-{number}' for number in range(4)]
    peer_table = make_peer_table('front-0', names, 9.5)
    first = choose_limiter(
        RateTable(), peer_table, INCARNATION, '', 10
    ).unwrap()
    table = RateTable()
    table.timed_out_at[first] = 9.9
    assert choose_limiter(table, peer_table, INCARNATION, '', 10) == Some(first)


def test_limiter_without_heartbeats_is_replaced():
    names = [f'front-{number}' for number in range(4)]
    peer_table = make_peer_table('front-0', names, 9.5)
    first = choose_limiter(
        RateTable(), peer_table, INCARNATION, '', 10
    ).unwrap()
    for number, name in enumerate(names):
        if name not in {first, 'front-0'}:
            record_heartbeat(peer_table, name, 10 + number, 11)
    assert choose_limiter(RateTable(), peer_table, INCARNATION, '', 11) != Some(
        first
    )


def test_remote_limiter_is_replaced_after_a_timeout():
    """In a large fleet, heartbeats don't reach other data centres."""
    peer_table = make_peer_table('front-0', (), 0, count=30)
    for name in ('far-1', 'far-2'):
        add_peer(peer_table, name, '10.9.0.1:1', 'there')
    first = choose_limiter(
        RateTable(), peer_table, INCARNATION, 'there', 10
    ).unwrap()
    table = RateTable()
    table.timed_out_at[first] = 9.9
    second = choose_limiter(
        table, peer_table, INCARNATION, 'there', 10
    ).unwrap()
    assert {first, second} == {'far-1', 'far-2'}


def test_partition_permits_its_share_of_a_rate():
    """Two partitions that each permit the full rate would exceed it twofold."""
    names = [f'front-{number}' for number in range(4)]
    whole = make_peer_table('front-0', names, 9.5)
    partition = make_peer_table('front-0', names, 5)
    record_heartbeat(partition, 'front-1', 2, 9.5)
    assert find_rate_share(partition, 10) == find_rate_share(whole, 10) / 2


def test_remote_data_centre_has_no_limiter():
    """No known instance is in the endpoint's data centre."""
    peer_table = make_peer_table('front-0', (), 0, count=30)
    assert (
        choose_limiter(RateTable(), peer_table, INCARNATION, 'there', 10)
        is Nothing
    )


@pytest.mark.parametrize(
    'message',
    [
        PermitRequest(1, INCARNATION, 2.5, 0.5),
        Permit(2, 0.25),
        Denial(3, 1.5),
        RateNotice(INCARNATION, 2.5),
        RateNotice(INCARNATION, 0),
    ],
)
def test_decoding_restores_an_encoded_message(message):
    assert decode(encode(message)) == Some(message)


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'{"from":"front-1"}',
        b'{"throttle":"rate"}',
        b'{"throttle":"other","key":1}',
        b'{"throttle":"rate","endpoint":"e","rate":-1}',
        b'{"throttle":"ask","key":1,"endpoint":"e","rate":0,"longest_s":1}',
        b'{"throttle":"permit","key":"x","wait_s":1}',
        b'{"throttle":["ask"]}',
    ],
)
def test_malformed_message_is_ignored(datagram):
    assert decode(datagram) is Nothing
