"""Requests under way while a manifest changes what they were routed by."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import pytest
from verbenahall_standins.platform import make_manifest, make_route
from verbenahall_standins.soak import Cut

from verbenahall.scheduling import _groups as groups

from . import test_scheduling as scheduling
from .conftest import make_engines, make_plain, run, run_gateway
from .cut_fleet import ROUTES as ROUTE_CALLS
from .cut_fleet import run_fleet
from .test_waiting import make_slow_engines, start_queued

#: Every answer is there within this time, in seconds: less than the deadline
#: of the requests.
PATIENCE_S = 2.8
ROUTES = make_manifest(0)['routes']
SERVICES = make_manifest(0)['services']


def change_routes(**changes):
    """Return a manifest's routes with the same fields changed in all."""
    return [{**row, **changes} for row in ROUTES]


def exchange_kinds():
    """Return the routes, streams made repeatable calls and the reverse."""
    kinds = {'stream': 'idempotent'}
    return [{**row, 'kind': kinds.get(row['kind'], 'stream')} for row in ROUTES]


def rename_services():
    """Return routes and services, all services under new names."""
    routes = [{**row, 'service': f'{row["service"]}-new'} for row in ROUTES]
    services = [{**row, 'name': f'{row["name"]}-new'} for row in SERVICES]
    return {'routes': routes, 'services': services}


def exchange_engines():
    """Return the services, the engine service made plain and the reverse."""
    engine = SERVICES[0]['engine']
    return [
        {'name': 'drafter', 'healthPath': '/health', 'maxConns': 300},
        {**SERVICES[1], 'engine': engine},
    ]


#: Changes of the manifest after which no new request finds its route, or finds
#: another one. A request that is under way isn't concerned.
CHANGES = {
    'no route': {'routes': []},
    'other paths': {'routes': [make_route('/other/', 'stream', 'drafter')]},
    'other host': {'routes': change_routes(host='other.example')},
    'other kind': {'routes': exchange_kinds()},
    'other service': {'routes': change_routes(service='pages')},
    'shorter time': {'routes': change_routes(timeoutMs=20, sloMs=10)},
    'one attempt': {'routes': change_routes(maxAttempts=1, resumable=False)},
    'no service': {'services': []},
    'nothing': {'routes': [], 'services': []},
    'new service names': rename_services(),
    'other engines': {'services': exchange_engines()},
    'tight limits': {
        'limits': {
            'maxHeaderBytes': 1,
            'maxBodyBytes': 1,
            'headerTimeoutMs': 10,
            'idleTimeoutMs': 10,
        },
    },
}


def hold_prefill(site):
    site.engines[0].faults.prefill_delay_s = 0.8


def hold_head(site):
    for engine in site.engines:
        engine.faults.slow_head_s = 0.8


def hold_stream(site):
    for engine in site.engines:
        engine.faults.event_pause_s = 0.2


def hold_break(site):
    """Let streams break off after two events, later than the change."""
    for engine in site.engines:
        engine.faults.break_after = 2
        engine.faults.event_pause_s = 0.4


def mend_streams(site):
    for engine in site.engines:
        engine.faults.break_after = None


def hold_page(site):
    for endpoint in site.plain:
        endpoint.delay_s = 0.8


def hold_failing_page(site):
    """Let the first attempt at a page fail, later than the change."""
    hold_page(site)
    for endpoint in site.plain:
        endpoint.status = 500


def mend_pages(site):
    """Let the endpoints that have not run a request answer at once."""
    for endpoint in site.plain:
        if not endpoint.runs:
            endpoint.status = 200
            endpoint.delay_s = 0


def let_be(site):
    """Change nothing."""


@dataclasses.dataclass(frozen=True)
class Phase:
    """A request that is held somewhere until a change is in force.

    ``hold`` prepares the stand-ins, and ``go_on`` lets the request go on. It
    is held once it was sent, to be prefilled or else to be answered.
    """

    method: str
    path: str
    hold: Callable[..., Any]
    go_on: Callable[..., Any] = let_be

    @property
    def is_stream(self):
        """Whether the answer is a stream."""
        return self.hold not in {hold_page, hold_failing_page}


PHASES = {
    'prefill': Phase('POST', '/summary/1', hold_prefill),
    'head': Phase('POST', '/summary/1', hold_head),
    'stream': Phase('POST', '/summary/1', hold_stream),
    'stream that may run once': Phase('POST', '/blurb/1', hold_stream),
    'resumed stream': Phase('POST', '/summary/1', hold_break, mend_streams),
    'page': Phase('GET', '/archive/1', hold_page),
    'page that may run once': Phase('POST', '/proof/1', hold_page),
    'repeated page': Phase('GET', '/archive/1', hold_failing_page, mend_pages),
}


def find_lines(harness, event, request):
    """Return the log lines of an event that concern a request."""
    lines = harness.log_lines(event)
    return [line for line in lines if line['request'] == request]


async def send_through_change(harness, name, change):
    """Send the request of a phase; put a change in force meanwhile."""
    phase = PHASES[name]
    phase.hold(harness.site)
    sending = asyncio.create_task(
        harness.send(phase.path, name, method=phase.method)
    )
    is_prefill = phase.hold is hold_prefill
    await harness.wait_until(
        lambda: any(
            line['prefill'] is is_prefill
            for line in find_lines(harness, 'sent', name)
        )
    )
    harness.site.publish(**CHANGES[change])
    await harness.wait_for_manifest()
    phase.go_on(harness.site)
    async with asyncio.timeout(PATIENCE_S):
        status, _, body = await sending
    await harness.wait_until(lambda: find_lines(harness, 'answered', name))
    return status, body, find_lines(harness, 'answered', name)[0]['end']


@contextlib.asynccontextmanager
async def run_for_each_phase(folder):
    """Run an instance with endpoints of its own for each phase."""
    async with contextlib.AsyncExitStack() as stack:
        harnesses = {}
        for number, name in enumerate(PHASES):
            engines = make_engines(prefill_count=1, decode_count=2)
            running = run_gateway(
                folder, engines, make_plain(), name=f'front-{number}'
            )
            harnesses[name] = await stack.enter_async_context(running)
        yield harnesses


@pytest.mark.parametrize('change', CHANGES)
def test_request_that_runs_is_answered(tmp_path, numbers, change):
    # The route, the service or a limit of a request that runs is gone or
    # different when its answer, or its next attempt, is due.
    async def check():
        async with run_for_each_phase(tmp_path) as harnesses:
            answers = await asyncio.gather(
                *(
                    send_through_change(harness, name, change)
                    for name, harness in harnesses.items()
                )
            )
            for phase, (status, body, end) in zip(PHASES.values(), answers):
                assert (status, end) == (200, 'whole'), phase
                assert not phase.is_stream or numbers(body) == [1, 2, 3, 4, 5]

    run(check())


async def wait_in_queue(folder, change):
    """Send a request that waits for the prefill of another one."""
    async with run_gateway(folder, make_slow_engines(0.8)) as harness:
        sending = await start_queued(harness)
        harness.site.publish(**CHANGES[change])
        await harness.wait_for_manifest()
        return await asyncio.gather(*sending)


async def wait_for_permit(folder, change):
    """Send requests to an endpoint that takes two a second."""
    plain = make_plain(1)
    plain[0].rate = '2'
    async with run_gateway(folder, plain=plain, name='front-2') as harness:
        await harness.send('/archive/1', 'first', method='GET')
        sending = [
            asyncio.create_task(
                harness.send('/archive/1', f'limited-{number}', method='GET')
            )
            for number in range(2)
        ]
        await harness.wait_until(
            lambda: find_lines(harness, 'accepted', 'limited-1')
        )
        harness.site.publish(**CHANGES[change])
        await harness.wait_for_manifest()
        return await asyncio.gather(*sending)


def reads_body(harness):
    """Whether a request has found its route, and waits for its body."""
    account = harness.gateway.core.byte_budget.account
    connections = account._connections.values()
    return any(one.partial_body is not None for one in connections)


async def wait_for_body(folder, change):
    """Send half of a request's body before a change, and half after it."""
    is_in_force = asyncio.Event()

    async def write_body():
        yield b'one half, '
        await is_in_force.wait()
        yield b'the other'

    async with run_gateway(
        folder, plain=make_plain(1), name='front-3'
    ) as harness:
        sending = asyncio.create_task(
            harness.send('/proof/1', 'uploaded', data=write_body())
        )
        await harness.wait_until(lambda: reads_body(harness))
        harness.site.publish(**CHANGES[change])
        await harness.wait_for_manifest()
        is_in_force.set()
        answer = await sending
        assert harness.site.plain[0].runs[0]['body'] == 'one half, the other'
        return [answer]


@pytest.mark.parametrize('change', CHANGES)
def test_request_that_waits_is_answered(tmp_path, change):
    # The route, the service or a limit of a request is gone or different when
    # its turn comes.
    async def check():
        async with asyncio.timeout(PATIENCE_S + 2):
            answers = await asyncio.gather(
                wait_in_queue(tmp_path, change),
                wait_for_permit(tmp_path, change),
                wait_for_body(tmp_path, change),
            )
        statuses = [status for one in answers for status, _, _ in one]
        assert statuses == [200, 200, 200, 200, 200]

    run(check())


@pytest.mark.parametrize('change', CHANGES)
def test_request_in_the_queue_of_a_scheduler_is_answered(
    tmp_path, monkeypatch, numbers, change
):
    # The scheduler of another instance no longer knows the service of a
    # request that waits in its queue.
    monkeypatch.setattr(groups, '_MAX_DIRECT_PEERS', 0)

    async def check():
        engines = make_slow_engines(0.8)
        async with scheduling.run_gateways(tmp_path, engines) as harnesses:
            first = harnesses[0]
            state = scheduling.find_state(harnesses[-1])
            sending = await scheduling.queue_behind(first, state)
            first.site.publish(**CHANGES[change])
            for harness in harnesses:
                await harness.wait_for_manifest()
            async with asyncio.timeout(PATIENCE_S):
                answers = await asyncio.gather(*sending)
            for status, _, body in answers:
                assert status == 200
                assert numbers(body) == [1, 2, 3, 4, 5]
            for harness in harnesses:
                harness.site.publish()
                await harness.wait_for_manifest()
            await first.wait_until(lambda: scheduling.is_idle(harnesses[-1]))

    run(check())


#: The changes that concern a forwarded request most.
HOP_CHANGES = (
    'no route',
    'other kind',
    'shorter time',
    'new service names',
    'nothing',
)


@pytest.mark.parametrize('change', HOP_CHANGES)
def test_forwarded_request_is_answered(tmp_path, numbers, change):
    # The peer that serves a request for an instance without a path to the
    # endpoints has other settings when it answers.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            hold_stream(fleet.site)
            hold_page(fleet.site)
            sending = [
                asyncio.create_task(cut.send(path, path, method=method))
                for method, path in ROUTE_CALLS
            ]
            await cut.wait_until(
                lambda: all(fleet.count_runs(path) for _, path in ROUTE_CALLS)
            )
            fleet.site.publish(**CHANGES[change])
            for harness in fleet.harnesses:
                await harness.wait_for_manifest()
            async with asyncio.timeout(PATIENCE_S):
                answers = await asyncio.gather(*sending)
            assert {status for status, _, _ in answers} == {200}
            for _, _, body in answers[:2]:
                assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())


def change_engine(**changes):
    """Return the services with other traits of the engines."""
    traits = {**SERVICES[0]['engine'], **changes}
    return [{**SERVICES[0], 'engine': traits}, SERVICES[1]]


#: Changes to zero, and the statuses that requests of the route may get.
ZEROS = {
    'slots': ({'services': change_engine(slots=0)}, {200, 429}),
    'memory': ({'services': change_engine(kvCapacity=0)}, {200, 429}),
    'bandwidth': ({'services': change_engine(linkMbps=0)}, {200, 429}),
    'objective': ({'routes': change_routes(sloMs=0)}, {200}),
    'gap': ({'routes': change_routes(gapAimMs=0)}, {200}),
    'weights': (
        {'routes': change_routes(split=[{'service': 'pages', 'weight': 0}])},
        {503},
    ),
}


@pytest.mark.parametrize('zero', ZEROS)
@pytest.mark.parametrize('max_direct', (16, 0))
def test_zero_in_a_manifest_fails_no_request(
    tmp_path, monkeypatch, max_direct, zero
):
    # Placement divided by it: requests got 500, and those that waited at a
    # scheduler were not placed any more.
    monkeypatch.setattr(groups, '_MAX_DIRECT_PEERS', max_direct)
    change, allowed = ZEROS[zero]

    async def check():
        engines = make_engines()
        async with run_fleet_of_three(tmp_path, engines) as harnesses:
            first = harnesses[0]
            first.site.publish(**change)
            for harness in harnesses:
                await harness.wait_for_manifest()
            async with asyncio.timeout(PATIENCE_S):
                answers = [
                    await first.send('/summary/1', f'zero-{number}')
                    for number in range(4)
                ]
            assert {status for status, _, _ in answers} <= allowed

    run(check())


@contextlib.asynccontextmanager
async def run_fleet_of_three(folder, engines):
    """Run instances that hear each other, on one site."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(run_gateway(folder, engines))
        others = [
            await stack.enter_async_context(
                run_gateway(folder, name=name, site=first.site)
            )
            for name in scheduling.NAMES[1:]
        ]
        for harness in (first, *others):
            await harness.wait_until(
                functools.partial(scheduling.has_both_peers, harness)
            )
        yield (first, *others)
