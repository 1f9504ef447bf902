"""Tests of the soak: plan, proxy, checks, and short runs."""

import asyncio
import contextlib
import dataclasses
import itertools
import socket

import pytest

from verbenahall_standins.platform import (
    Arrival,
    EngineStandIn,
    Notice,
    Notices,
    PartRun,
)
from verbenahall_standins.soak import (
    CutWindow,
    Departure,
    Kind,
    Link,
    LinkFault,
    Listener,
    Proxy,
    Record,
    Scenario,
    StoreDisturbance,
    StreamAttempt,
    draw_plan,
    find_late_arrivals,
    find_mixed,
    find_not_resumed,
    find_resent_parts,
    find_unheeded_notices,
    find_unserved,
    find_violations,
    run_soak,
)

GOOD = Record(
    request_id='r-1',
    instance='front-1',
    sent_at=0,
    ended_at=1,
    wait_s=2,
    status=200,
    complete=True,
    repeatable=False,
    disturbed=False,
)


def change(**changes):
    """Return the good record with changed fields."""
    return dataclasses.replace(GOOD, **changes)


def test_same_seed_draws_the_same_plan():
    assert draw_plan(3, 20) == draw_plan(3, 20)
    assert draw_plan(3, 20) != draw_plan(4, 20)


def test_engines_are_silent_after_each_kind_of_change():
    # A day whose changes all came to the same thing would show nothing.
    events = draw_plan(3, 20, Scenario.SILENT_ENGINES)
    changes = [one for one in events if one.kind is Kind.MANIFEST_CHANGES]
    pauses = [one for one in events if one.kind is Kind.ENGINES_PAUSE]
    assert len(changes) >= 3
    for change_event, pause in zip(changes, pauses, strict=True):
        assert pause.at == pytest.approx(change_event.at + 0.6)
        assert pause.for_s == pytest.approx(1.15, abs=0.15)


@pytest.mark.parametrize(
    ('record', 'runs'),
    [
        (change(ended_at=9), 1),
        (change(status=0), 1),
        (change(complete=False), 1),
        (GOOD, 2),
        (change(status=503), 1),
        (change(status=429), 1),
    ],
)
def test_each_violation_is_found(record, runs):
    # A check that never reports a violation would let every soak pass.
    assert find_violations([record], {'r-1': runs}, [])


@pytest.mark.parametrize(
    ('record', 'runs'),
    [
        (GOOD, 1),
        (change(repeatable=True), 2),
        (change(status=502, complete=False), 1),
        (change(status=-1, complete=False), 1),
        (change(status=0, complete=False, disturbed=True), 1),
    ],
)
def test_allowed_outcome_is_no_violation(record, runs):
    assert not find_violations([record], {'r-1': runs}, [])


def test_return_to_an_older_manifest_is_found():
    newer = change(version=3)
    older = change(request_id='r-2', ended_at=2, status=404, version=2)
    assert find_violations([newer, older], {}, [])
    elsewhere = dataclasses.replace(older, instance='front-2')
    assert not find_violations([newer, elsewhere], {}, [])


def make_subject(name, statuses):
    """Return the records of one subject, a request each three seconds."""
    return [
        change(
            request_id=f'{name}-{number}',
            sent_at=3 * number,
            ended_at=3 * number + 1,
            status=status,
            path='/blurb/1',
            subject=name,
        )
        for number, status in enumerate(statuses)
    ]


def test_subjects_that_are_never_served_are_found():
    served = [
        record
        for number in range(10)
        for record in make_subject(f's{number}', itertools.repeat(200, 20))
    ]
    unserved = [
        record
        for number in range(3)
        for record in make_subject(f'u{number}', itertools.repeat(429, 5))
    ]
    assert not find_violations(served, {}, [])
    assert find_violations([*served, *unserved], {}, [])


def test_unserved_subjects_by_chance_are_no_violation():
    records = [
        record
        for number in range(20)
        for record in make_subject(f's{number}', [429, 429, 429, 200])
    ]
    records.extend(make_subject('u0', itertools.repeat(429, 4)))
    records.extend(make_subject('u1', itertools.repeat(429, 4)))
    assert not find_violations(records, {}, [])


@pytest.mark.parametrize(
    'orders',
    [
        [[{'fence': 2, 'holder': 'a'}, {'fence': 1, 'holder': 'b'}]],
        [[{'fence': 2, 'holder': 'a'}], [{'fence': 2, 'holder': 'b'}]],
    ],
)
def test_orders_of_two_holders_are_found(orders):
    assert find_violations([], {}, orders)


STAMP = 'stand-in-page-0'


def make_notices(*arrivals_at, leaving=False, backoff_s=0):
    """Return an endpoint's notice to a request, and its arrivals since.

    The notice is sent at second 0 to the request 0 of an instance, which sends
    all that arrive.
    """
    notices = Notices()
    stamp = STAMP if leaving else ''
    notices.sent.append(Notice(0, '0', leaving, backoff_s, 0, stamp))
    notices.arrivals.extend(
        Arrival(at, str(number), '/', 0)
        for number, at in enumerate((0, *arrivals_at))
    )
    records = [
        change(request_id=one.request_id, sent_at=one.at, stamp=stamp)
        for one in notices.arrivals
    ]
    return notices, records


def find_unheeded(notices, records, faults=(), *, disturbed=False):
    """Return the violations of a notice."""
    return list(
        find_unheeded_notices(
            {'page-0': notices}, records, faults, lambda *_: disturbed
        )
    )


def test_request_to_a_leaving_endpoint_is_found():
    notices, records = make_notices(1.9, 2.1, leaving=True)
    assert find_unheeded(notices, records)
    assert not find_unheeded(notices, records, disturbed=True)
    assert not find_unheeded(notices, records, [LinkFault(notices, 1, 1.5)])
    other = dataclasses.replace(records[0], stamp='stand-in-page-1')
    assert not find_unheeded(notices, [other, *records[1:]])


def test_requests_in_a_backoff_are_found():
    notices, records = make_notices(0.4, 0.6, 1, 1.5, backoff_s=2)
    assert find_unheeded(notices, records)
    notices, records = make_notices(0.4, 0.6, 1, 2.1, 3, backoff_s=2)
    assert not find_unheeded(notices, records)


def test_notice_to_a_request_that_was_given_up_binds_nobody():
    """A cut link delivered a request seconds after its caller's 504."""
    notices, records = make_notices(0.6, 1, 1.5, backoff_s=2)
    assert find_unheeded(notices, records)
    late = dataclasses.replace(records[0], ended_at=-0.1)
    assert not find_unheeded(notices, [late, *records[1:]])


def test_next_incarnation_is_not_bound_by_a_notice():
    notices, records = make_notices(1, 2.1, 2.2, 2.3, leaving=True, backoff_s=9)
    notices.arrivals = [
        dataclasses.replace(one, start=1) for one in notices.arrivals
    ]
    assert not find_unheeded(notices, records)


@pytest.mark.parametrize(
    ('link', 'arrives', 'returns'),
    [
        (Link.GOOD, True, True),
        (Link.ONE_WAY, True, False),
        (Link.SILENT, False, False),
        (Link.RESET, False, False),
    ],
)
def test_proxy_applies_its_link_state(link, arrives, returns):
    async def check():
        got = []

        async def echo(reader, writer):
            got.append(await reader.read(9))
            writer.write(b'back')

        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        proxy = Proxy(f'{host}:{port}')
        await proxy.start()
        proxy.set(link)
        expected = b'back' if returns else b''
        assert await exchange(proxy, 0.3) == expected
        assert bool(got) == arrives
        proxy.set(Link.GOOD)
        assert await exchange(proxy, 2) == b'back'
        await proxy.stop()
        server.close()

    asyncio.run(check())


async def exchange(proxy, within_s):
    """Send over a proxy; return the answer, or ``b''`` after the timeout."""
    host, _, port = proxy.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(within_s):
            writer.write(b'call')
            return await reader.read(9)
    except (TimeoutError, OSError):
        return b''
    finally:
        writer.close()


@pytest.mark.process
@pytest.mark.parametrize('seed', [1, 6, 7])
def test_short_soak_has_no_violations(tmp_path, seed):
    # Links, the store, endpoints and processes fail in a random order, some
    # of them at the same time; sound endpoints pause beside changes of the
    # manifest, with retry budgets that are spent. Longer soaks with more seeds
    # are run by hand.
    assert asyncio.run(run_soak(seed, 10, tmp_path)) == []


@pytest.mark.process
def test_engines_that_are_silent_beside_changes_lose_no_request(tmp_path):
    # Streams of sound engines were given up after 1.2 s of silence.
    silent_engines = Scenario.SILENT_ENGINES
    soak = run_soak(1, 14, tmp_path, scenario=silent_engines)
    assert asyncio.run(soak) == []


@pytest.mark.process
def test_store_that_returns_from_copies_loses_no_request(tmp_path):
    # The store returns from older copies in series, beside restarts, changes
    # and faults of all kinds.
    soak = run_soak(2, 14, tmp_path, scenario=Scenario.STORE_RETURNS)
    assert asyncio.run(soak) == []


@pytest.mark.process
def test_endpoints_that_leave_get_no_request_after_the_bound(tmp_path):
    # The entry of an endpoint that was started again under its name counted as
    # an older one, so that its leaving was not heeded.
    soak = run_soak(4, 14, tmp_path, scenario=Scenario.LEAVING_ENDPOINTS)
    assert asyncio.run(soak) == []


def make_departure():
    """Return the leaving of an endpoint at 10 s, with a late request."""
    notices = Notices()
    notices.arrivals.append(Arrival(12.5, 'r-1', '/archive/1', 0))
    return Departure('page-0', notices, 0, 10, 'removed')


def test_late_arrival_after_a_departure_is_found():
    lines = list(
        find_late_arrivals([make_departure()], [GOOD], lambda *_: False)
    )
    assert lines == [
        'page-0 (removed): 1 requests of front-1 later than the bound, r-1'
        ' 2.5 s after the store had its leaving'
    ]


def test_late_arrival_of_a_disturbed_instance_is_excused():
    disturbance = StoreDisturbance(8, 9.6, frozenset(('front-1',)))
    late = find_late_arrivals([make_departure()], [GOOD], disturbance.affects)
    assert not list(late)


def test_disturbance_that_ended_long_before_excuses_nothing():
    # It ended after the leaving, and 3.1 s before the request arrived.
    departure = make_departure()
    departure.notices.arrivals.clear()
    departure.notices.arrivals.append(Arrival(16, 'r-1', '/archive/1', 0))
    disturbance = StoreDisturbance(11, 12.9, frozenset(('front-1',)))
    late = find_late_arrivals([departure], [GOOD], disturbance.affects)
    assert list(late)


def test_disturbance_of_another_instance_excuses_nothing():
    disturbance = StoreDisturbance(8, 12, frozenset(('front-2',)))
    late = find_late_arrivals([make_departure()], [GOOD], disturbance.affects)
    assert list(late)


def test_arrival_at_the_next_start_is_not_late():
    departure = dataclasses.replace(make_departure(), start=1)
    assert not list(find_late_arrivals([departure], [GOOD], lambda *_: False))


#: Both instances are in touch.
BOTH = frozenset(('front-1', 'front-2'))


def make_records(instance, good, bad, sent_at=5, status=503):
    """Return records of one instance, some of them with another status."""
    return [
        change(
            instance=instance,
            sent_at=sent_at,
            ended_at=sent_at + 1,
            status=200 if number < good else status,
            complete=number < good,
        )
        for number in range(good + bad)
    ]


@pytest.mark.parametrize(
    ('good', 'bad', 'sent_at', 'status', 'in_touch', 'found'),
    [
        (10, 20, 5, 503, BOTH, True),
        (30, 0, 5, 503, BOTH, False),
        (22, 8, 5, 503, BOTH, False),
        (0, 9, 5, 503, BOTH, False),
        (10, 20, 2, 503, BOTH, False),
        (10, 20, 9.5, 503, BOTH, False),
        (10, 20, 5, 401, BOTH, False),
        (10, 20, 5, 503, {'front-1'}, False),
        (10, 20, 5, 503, {'front-2'}, False),
    ],
)
def test_unserved_callers_of_a_cut_instance_are_found(
    good, bad, sent_at, status, in_touch, found
):
    records = [
        *make_records('front-1', good, bad, sent_at, status),
        *make_records('front-2', 30, 0),
    ]
    window = CutWindow(frozenset(('front-1',)), 0, 10)
    violations = find_unserved(records, [window], lambda *_: in_touch)
    assert bool(list(violations)) is found


def test_failures_at_all_instances_are_not_those_of_a_cut():
    records = [
        *make_records('front-1', 10, 20),
        *make_records('front-2', 10, 20),
    ]
    window = CutWindow(frozenset(('front-1',)), 0, 10)
    assert not list(find_unserved(records, [window], lambda *_: BOTH))


@pytest.mark.parametrize(
    ('listener', 'error'),
    [
        (Listener.OPEN, contextlib.nullcontext()),
        (Listener.DARK, pytest.raises(TimeoutError)),
        (Listener.CLOSED, pytest.raises(ConnectionRefusedError)),
    ],
)
def test_proxy_applies_the_state_of_its_listener(listener, error):
    async def check():
        proxy = Proxy('127.0.0.1:1')
        await proxy.start()
        host, _, port = proxy.address.rpartition(':')
        await proxy.set_listener(listener)
        with error:
            async with asyncio.timeout(0.3):
                await asyncio.open_connection(host, int(port))
        await proxy.set_listener(Listener.OPEN)
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        await proxy.stop()

    asyncio.run(check())


def make_attempt(number, versions=('v1',), after_event=0, **changes):
    """Return an attempt at a stream with the given versions of events."""
    return StreamAttempt(
        first_id=f'r-{number}',
        request_id=f'r-{number}-{after_event}',
        instance='front-1',
        sent_at=number,
        status=200,
        after_event=after_event,
        last_event=5,
        versions=frozenset(versions),
        **{'serving': 2, **changes},
    )


def test_stream_with_events_of_two_versions_is_found():
    begun, other = make_attempt(1), make_attempt(1, ('v2',), 2)
    assert not list(find_mixed([begun, make_attempt(2, ('v2',))]))
    assert list(find_mixed([begun, other]))
    assert list(find_mixed([make_attempt(1, ('v1', 'v2'))]))


@pytest.mark.parametrize(
    ('gone_on', 'serving', 'in_touch', 'is_found'),
    (
        (12, 2, True, False),
        (6, 2, True, True),
        (6, 1, True, False),
        (6, 2, False, False),
    ),
)
def test_streams_that_do_not_go_on_are_found(
    gone_on, serving, in_touch, is_found
):
    attempts = [
        *(make_attempt(number) for number in range(20)),
        *(
            make_attempt(
                number, ('v1',) if number < gone_on else (), 2, serving=serving
            )
            for number in range(14)
        ),
    ]
    found = list(find_not_resumed(attempts, lambda name, at: in_touch))
    assert bool(found) is is_found


@pytest.mark.parametrize(
    ('sends', 'in_touch', 'is_found'),
    ((4, True, True), (3, True, False), (4, False, False)),
)
def test_part_that_is_sent_again_after_five_crashes_is_found(
    sends, in_touch, is_found
):
    engine = EngineStandIn('engine', 'decode')
    engine.part_crashes = [('dead', at) for at in range(5)]
    engine.part_runs = [
        *(PartRun('dead', 1, f'early-{number}') for number in range(9)),
        *(PartRun('dead', 8, f'late-{number}') for number in range(sends)),
    ]
    instances = {one.request_id: 'front-1' for one in engine.part_runs}
    found = find_resent_parts([engine], instances, lambda name, at: in_touch)
    assert bool(list(found)) is is_found


def test_port_of_a_closed_link_is_kept():
    """Another process took it, and was reached through the cut link."""

    async def check():
        proxy = Proxy('127.0.0.1:9')
        await proxy.start()
        host, _, port = proxy.address.rpartition(':')
        await proxy.set_listener(Listener.CLOSED)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((host, int(port)))
        await proxy.set_listener(Listener.OPEN)
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        await proxy.stop()

    asyncio.run(check())


def test_overlapping_faults_open_a_listener_once():
    # A cut ends while a crashed engine is back, and both open its link.
    async def check():
        proxy = Proxy('127.0.0.1:9')
        await proxy.start()
        await asyncio.gather(
            *(proxy.set_listener(Listener.OPEN) for _ in range(4))
        )
        host, _, port = proxy.address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        await proxy.stop()

    asyncio.run(check())
