"""Reports of charges between instances, and the queue of a scheduler."""

import random

import pytest
from returns.maybe import Nothing, Some
from verbenahall import scheduling, wire
from verbenahall.authentication import Workspace, build_key_table
from verbenahall.fair_shares import FairShares, ShareState
from verbenahall.fleet import Role
from verbenahall.peers import (
    Heartbeat,
    PeerExchange,
    PeerTable,
    ShareReport,
    add_peer,
    decode_message,
    encode_heartbeat,
    encode_shares,
    record_heartbeat,
)
from verbenahall.placement import (
    Fleet,
    Part,
    PlacementState,
    RequestSource,
    Work,
)
from verbenahall_standins.replay import TRAITS, make_entry

RNG = random.Random(5)
ENGINES = (make_entry('p0', Role.PREFILL), make_entry('d0', Role.DECODE))
PEERS = 24


def test_heartbeat_states_charges():
    heartbeat = Heartbeat('front-1', 1, {}, charged={'press': 1200})
    assert decode_message(encode_heartbeat(heartbeat)) == Some(heartbeat)


def test_heartbeat_without_charges_is_as_before():
    # Deployments without API keys must not send more bytes.
    assert b'charged' not in encode_heartbeat(Heartbeat('front-1', 1, {}))


def test_report_to_other_data_centres_is_decoded():
    report = ShareReport('front-1', {'press': 1200})
    assert decode_message(encode_shares(report)) == Some(report)


@pytest.mark.parametrize(
    'charged', [{'press': -1}, {'press': 'x'}, [1], 3, {'press': 1e12}]
)
def test_invalid_charges_are_rejected(charged):
    # One such value would push a workspace behind all others for minutes.
    report = wire.encode({'from': 'front-1', 'shares': charged})
    assert decode_message(report) is Nothing
    table = wire.decode(encode_heartbeat(Heartbeat('front-1', 1, {}))).unwrap()
    heartbeat = wire.encode({**table, 'charged': charged})
    assert decode_message(heartbeat) is Nothing


class Socket:
    """Keeps the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, datagram, address):
        self.sent.append((datagram, address))


def make_exchange(peers, centre_of=str):
    table = PeerTable('here', 'a')
    for number in range(peers):
        name = f'peer-{number}'
        add_peer(table, name, f'10.0.0.{number}:1', centre_of(number))
    exchange = PeerExchange(table, PlacementState(), bool)
    exchange.connection_made(Socket())
    return table, exchange


def make_shares():
    shares = FairShares()
    names = [f'workspace-{number}' for number in range(1000, 2000)]
    shares.apply_keys(build_key_table((Workspace(one), [one]) for one in names))
    return shares, names


def charge_many(shares, names, now=0):
    state = shares.find('reader')
    for number, name in enumerate(names):
        state.charged[name] = state.find_unit(now) * (1 + number)


def test_charges_take_few_bytes():
    # All parts together may send 6 KB/s; charges in each heartbeat would take
    # some 40 KB/s.
    table, exchange = make_exchange(10)
    for number in range(10):
        record_heartbeat(table, f'peer-{number}', 1, 0)
    shares, names = make_shares()
    charge_many(shares, names)
    exchange.list_charged = lambda now: shares.export(0)
    plain = len(encode_heartbeat(exchange._make_heartbeat({}, {})))
    for tick in range(20):
        exchange._send_heartbeats(tick / 10)
    sent = exchange._transport.sent
    with_charges = [one for one, _ in sent if b'charged' in one]

    assert 20 <= len(with_charges) <= 30
    assert max(map(len, with_charges)) < 1400
    added = sum(map(len, with_charges)) - plain * len(with_charges)
    assert added / 2 < 4000


def test_scheduler_reports_to_other_data_centres_once_a_second():
    # Heartbeats of a large fleet stay within a data centre. A workspace that
    # sends to two of them would get its share twice.
    table, exchange = make_exchange(PEERS, lambda number: 'ab'[number % 2])
    shares, names = make_shares()
    charge_many(shares, names[:3])
    reporter = scheduling.ShareReporter(exchange, shares, table)
    engines = [
        make_entry(f'{centre}{number}', Role.MIXED)
        for centre in 'ab'
        for number in range(8)
    ]
    engines = [set_centre(one) for one in engines]
    for tick in range(8):
        reporter.report('reader', engines, tick / 2)
    sent = exchange._transport.sent

    assert len(sent) == 4
    for datagram, (host, _) in sent:
        assert int(host.rpartition('.')[2]) % 2
        report = decode_message(datagram).unwrap()
        assert report.author == 'here'
        assert len(report.charged) == 3


def set_centre(engine):
    return type(engine)(
        name=engine.name,
        service=engine.service,
        address=engine.address,
        data_centre=engine.name[0],
        leaving=False,
        slots=engine.slots,
        role=engine.role,
    )


def make_request(key, workspace):
    work = Work((Part('form', 6000), Part(key, 3000)), 9000, 2)
    return scheduling.ScheduleRequest(
        key=key,
        service='reader',
        group='a/0',
        work=work,
        gap_s=0.2,
        priority=0,
        due_s=5,
        objective_s=5,
        leaves_s=9,
        deadline_s=9,
        source=RequestSource(key, f'key-{workspace}', workspace),
    )


def run_scheduler(names):
    """Queue ten requests of a large workspace, then one of another one.

    Returns the keys in the order of their assignment.
    """
    state = scheduling.SchedulerState(PlacementState(), 0, ShareState(names))
    assigned = []

    def assign(now):
        fleet = Fleet(
            state.placement, ENGINES, TRAITS, len(state.queue.waiting)
        )
        replies = scheduling.assign_waiting(state, fleet, now, RNG)
        for reply in replies:
            if isinstance(reply.message, scheduling.Assignment):
                assigned.append(reply.message.key)

    fleet = Fleet(state.placement, ENGINES, TRAITS)
    keys = [(f'l{number}', 'large') for number in range(10)]
    for key, workspace in (*keys, ('small', 'other')):
        request = make_request(key, workspace)
        scheduling.receive_request(state, request, 'x', fleet, 0, RNG)
        assign(0)
    service = None
    for step in range(1, 40):
        for key in tuple(state.assigned):
            scheduling.record_progress(
                state, scheduling.Released(key), service, step / 100
            )
        assign(step / 100)
    return assigned, state


def test_scheduler_serves_another_workspace_before_a_large_one():
    # All requests have the same objective, so by due time the one that came
    # last is served last.
    shared, state = run_scheduler(['large', 'other'])
    unshared, _ = run_scheduler([])

    assert unshared.index('small') == 10
    assert shared.index('small') <= 5
    assert set(shared) == set(unshared)
    assert set(state.shares.charged) == {'large', 'other'}
