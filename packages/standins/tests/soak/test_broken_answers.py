"""Tests of pauses of sound endpoints, and of the check of broken answers."""

import asyncio
import collections
import dataclasses
import time
from types import MappingProxyType

import aiohttp
import pytest

from verbenahall_standins.platform import (
    EngineStandIn,
    Exchange,
    ExchangeEnd,
    Pause,
    PlainStandIn,
)
from verbenahall_standins.soak import (
    ABANDONED,
    TRUNCATED,
    EndpointHistory,
    Kind,
    Link,
    Record,
    draw_plan,
    find_broken_answers,
)

#: A stream that broke off after 1.3 of its 3 seconds.
BROKEN_OFF = Record(
    request_id='r-1',
    instance='front-1',
    sent_at=0,
    ended_at=1.3,
    wait_s=3,
    status=TRUNCATED,
    complete=False,
    repeatable=True,
    disturbed=False,
    path='/summary/1',
)
#: A pause from which the endpoint goes on in time.
SHORT = (Pause(0.1, 1.7),)
LEFT = ExchangeEnd.LEFT
REFUSED = ExchangeEnd.REFUSED
BROKEN = ExchangeEnd.BROKEN
ANSWERED = ExchangeEnd.ANSWERED


def change(**changes):
    """Return the stream that broke off with changed fields."""
    return dataclasses.replace(BROKEN_OFF, **changes)


def make_endpoint(end, started_at=0, ended_at=1.25, pauses=(), **changes):
    """Return an endpoint with one request, and faults of its link."""
    link_faults = changes.pop('link_faults', ())
    exchange = Exchange('r-1', '', started_at, ended_at, end=end)
    exchange = dataclasses.replace(exchange, **changes)
    return EndpointHistory('engine', [exchange], pauses, link_faults)


def find(record, *endpoints, cut=False, kills=()):
    """Return the violations of one request."""
    return list(
        find_broken_answers(
            [record],
            endpoints,
            lambda one: one.sent_at + one.wait_s,
            lambda *_: cut,
            kills,
        )
    )


@pytest.mark.parametrize(
    'record',
    [
        BROKEN_OFF,
        change(status=502),
        change(status=504),
        change(status=503),
        change(status=0),
        # The connection closed while the instance ended gracefully.
        change(status=0, disturbed=True),
        change(status=ABANDONED, ended_at=2.05),
    ],
)
def test_sound_endpoint_that_was_left_is_found(record):
    # An endpoint was silent for 1.6 s, and the answer was ended after 1.25 s.
    endpoint = make_endpoint(LEFT, 0, 1.25, SHORT)
    assert find(record, endpoint)
    assert not find(record, endpoint, cut=True)
    assert not find(dataclasses.replace(record, killed=True), endpoint)


@pytest.mark.parametrize(
    ('killed_at', 'is_found'),
    [(1.2, False), (1.1, True), (1.3, True)],
)
def test_request_at_a_peer_that_was_killed_is_excused(killed_at, is_found):
    # A cut instance had forwarded its requests to a peer, which was killed.
    endpoint = make_endpoint(LEFT, 0, 1.25, SHORT)
    assert bool(find(BROKEN_OFF, endpoint, kills=[killed_at])) is is_found


@pytest.mark.parametrize(
    'record',
    [
        change(status=200, complete=True),
        change(status=ABANDONED, ended_at=1.9),
    ],
)
def test_whole_answer_and_impatient_caller_are_no_violations(record):
    assert not find(record, make_endpoint(LEFT, 0, 1.25, SHORT))


def test_answer_that_no_endpoint_broke_off_is_found():
    # An answer was ended by a change of the manifest, without any silence.
    assert find(BROKEN_OFF, make_endpoint(ANSWERED, 0, 1.25, output_at=[0.1]))
    assert find(BROKEN_OFF, make_endpoint(REFUSED))
    assert find(BROKEN_OFF, make_endpoint(LEFT))


def test_request_that_no_endpoint_got_may_be_closed_or_refused():
    assert not find(change(status=0))
    assert not find(change(status=503))


@pytest.mark.parametrize('status', [TRUNCATED, 0, 502])
def test_endpoint_that_broke_off_excuses_its_requests_only(status):
    record = change(status=status)
    assert not find(record, make_endpoint(BROKEN))
    other = dataclasses.replace(record, request_id='r-2')
    sound = make_endpoint(LEFT, 0, 1.25, SHORT)
    sound.exchanges[0].request_id = 'r-2'
    assert find(other, make_endpoint(BROKEN), sound)


@pytest.mark.parametrize('status', [TRUNCATED, 502])
@pytest.mark.parametrize('end', [BROKEN, REFUSED, LEFT])
def test_first_endpoint_is_not_left_for_one_that_fails(end, status):
    # The first attempt was closed as the second one began, which then failed.
    first = make_endpoint(LEFT, 0, 1.2, SHORT)
    second = make_endpoint(end, 1.2, 1.3)
    assert find(change(status=status), first, second)


def test_endpoint_may_be_left_when_another_one_has_begun_to_answer():
    first = make_endpoint(LEFT, 0, 1.25, SHORT)
    second = make_endpoint(BROKEN, 1.2, 1.3, output_at=[1.22])
    assert not find(BROKEN_OFF, first, second)
    late = make_endpoint(BROKEN, 1.2, 1.3, output_at=[1.28])
    assert find(BROKEN_OFF, first, late)


def test_second_endpoint_may_be_left_when_the_first_one_goes_on():
    # The first endpoint went on, the second one was closed, the first crashed.
    first = make_endpoint(BROKEN, 0, 1.8, SHORT, output_at=[0.05, 1.72])
    second = make_endpoint(LEFT, 1.2, 1.73, [Pause(1.1, 1.9)])
    record = change(ended_at=1.8)
    assert not find(record, first, second)
    silent = make_endpoint(BROKEN, 0, 1.8, SHORT, output_at=[0.05])
    assert find(record, silent, second)


def test_event_may_be_on_its_way_when_the_second_endpoint_is_asked():
    # A slow link brought the first endpoint's event after that.
    links = [(Link.SLOW, Pause(1, 1.3))]
    second = make_endpoint(LEFT, 1.2, 1.25)
    record = change(ended_at=1.8)
    for sent_at, link_faults, found in (
        (1.15, (), False),
        (0.8, (), True),
        (1.05, links, False),
    ):
        first = make_endpoint(
            BROKEN, 0, 1.8, output_at=[sent_at], link_faults=link_faults
        )
        assert bool(find(record, first, second)) is found


def test_prefill_does_not_replace_a_stream():
    # The prefill of the second attempt was taken for its first event.
    first = make_endpoint(LEFT, 0, 1.25, SHORT)
    prefill = make_endpoint(
        ANSWERED, 1.2, 1.22, output_at=[1.22], stage='prefill'
    )
    second = make_endpoint(REFUSED, 1.23, 1.24)
    assert find(BROKEN_OFF, first, prefill, second)


def test_prefill_that_was_left_is_found():
    first = make_endpoint(LEFT, 0, 1.25, SHORT, stage='prefill')
    assert find(change(status=502), first)


@pytest.mark.parametrize(
    ('pauses', 'found'),
    [
        ([Pause(0.1, 1.7)], True),
        ([Pause(0.1, 1.5), Pause(1.4, 2.5)], True),
        ([Pause(0.1, 1.5), Pause(1.4, 2.9)], False),
        ([Pause(0.1, 2.8)], False),
        ([Pause(0.1, 1.7), Pause(2, 4)], True),
    ],
)
def test_endpoint_counts_that_would_have_gone_on_in_time(pauses, found):
    endpoint = make_endpoint(LEFT, 0, 1.25, pauses)
    assert bool(find(change(status=504), endpoint)) is found


def test_answer_may_end_with_its_time():
    over = change(ended_at=2.9)
    assert not find(over, make_endpoint(LEFT, 0, 2.9, [Pause(1, 3.5)]))
    # The endpoint that would have answered was closed long before.
    assert find(over, make_endpoint(LEFT, 0, 1.2, SHORT))


@pytest.mark.parametrize(
    ('link', 'ended_at', 'found'),
    [
        (Link.RESET, 1, False),
        (Link.SLOW, 1.7, True),
        (Link.SILENT, 1.7, True),
        (Link.ONE_WAY, 3, False),
    ],
)
def test_link_that_loses_nothing_counts_as_a_pause(link, ended_at, found):
    faults = [(link, Pause(0.1, ended_at))]
    endpoint = make_endpoint(LEFT, link_faults=faults)
    assert bool(find(change(status=502), endpoint)) is found


HEADERS = MappingProxyType(
    {'X-Verbenahall-Request-Id': 'r-1', 'X-Verbenahall-Stage': 'decode'}
)
#: Length of a pause, and the least time that it holds an answer, in seconds.
PAUSE_S = 0.5
LEAST_S = 0.45
#: Bounds of the pauses of a plan, in seconds.
SHORTEST_S = 0.5
LONGEST_S = 2.5


async def read_during_pause(endpoint, pause_s, give_up_s=5.0):
    """Return the body of an answer during which the endpoint pauses."""
    await endpoint.start()
    url = f'http://{endpoint.address}/summary/1'
    try:
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(give_up_s),
        ):
            async with session.get(url, headers=HEADERS) as response:
                first = await response.content.readany()
                pausing = asyncio.create_task(endpoint.exchanges.pause(pause_s))
                await asyncio.sleep(0)
                started_at = time.monotonic()
                rest = await response.read()
                waited_s = time.monotonic() - started_at
            await pausing
            return (first + rest).decode(), waited_s
    finally:
        await asyncio.sleep(0.05)
        await endpoint.stop()


def test_paused_stream_goes_on_without_loss():
    async def check():
        engine = EngineStandIn('engine', 'decode')
        engine.faults.event_pause_s = 0.02
        body, waited_s = await read_during_pause(engine, PAUSE_S)
        assert body.count('data: token-') == engine.events
        assert waited_s > LEAST_S
        assert engine.exchanges.records[0].end is ANSWERED

    asyncio.run(check())


def test_left_and_broken_streams_are_told_apart():
    async def check(end, break_after):
        engine = EngineStandIn('engine', 'decode')
        engine.faults.event_pause_s = 0.02
        engine.faults.break_after = break_after
        with pytest.raises((TimeoutError, aiohttp.ClientPayloadError)):
            await read_during_pause(engine, 1, give_up_s=0.3)
        assert [one.end for one in engine.exchanges.records] == [end]

    asyncio.run(check(LEFT, None))
    asyncio.run(check(BROKEN, 1))


def test_plain_answer_is_held_in_overlapping_pauses():
    async def check():
        plain = PlainStandIn('page')
        await plain.start()
        pauses = [
            asyncio.create_task(plain.exchanges.pause(pause_s))
            for pause_s in (0.2, PAUSE_S)
        ]
        await asyncio.sleep(0)
        started_at = time.monotonic()
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'http://{plain.address}/', headers=HEADERS) as found,
        ):
            assert found.status == 200
        assert time.monotonic() - started_at > LEAST_S
        await asyncio.gather(*pauses)
        await plain.stop()

    asyncio.run(check())


PAUSES = frozenset(
    (
        Kind.ENDPOINTS_PAUSE,
        Kind.MANIFEST_CHANGES,
        Kind.BUDGETS_SPENT,
        Kind.ENGINES_FAIL,
    )
)


def test_plan_has_pauses_beside_changes():
    # Answers were cut off when a silence met a change or a spent budget.
    kinds = collections.Counter(
        event.kind for seed in range(20) for event in draw_plan(seed, 20)
    )
    assert kinds[Kind.ENDPOINTS_PAUSE] > 100
    assert all(kinds[kind] > 20 for kind in PAUSES)
    lengths = [
        event.for_s
        for seed in range(20)
        for event in draw_plan(seed, 20)
        if event.kind is Kind.ENDPOINTS_PAUSE
    ]
    assert min(lengths) >= SHORTEST_S
    assert max(lengths) <= LONGEST_S
