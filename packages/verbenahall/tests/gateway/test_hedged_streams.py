"""Hedged attempts beside refusals, slow callers and lost paths."""

import asyncio
import contextlib
import functools
import time
import types

import pytest
from aiohttp import web
from returns.result import Failure
from verbenahall_standins.platform import make_route
from verbenahall_standins.soak import Cut, EndpointLinks

from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._relay import EventRelay
from verbenahall.requests import Refused, Silent

from .conftest import PREFIX, make_engines, run, run_gateway
from .cut_fleet import has_live_peers
from .test_silent_streams import be_silent, count_runs, find_unused, read_stream


class SlowLimiter:
    """Gives permits for decode engines after half of a request's time."""

    def __init__(self, limiter):
        self.record_answer = limiter.record_answer

    async def acquire(self, endpoint, left_s):
        if endpoint.name.startswith('generator'):
            await asyncio.sleep(min(1.5, left_s / 2))


@pytest.mark.parametrize('decode_count', [1, 2])
def test_stream_goes_on_at_a_peer_if_the_path_hangs(
    tmp_path, numbers, decode_count
):
    # The path to all engines hangs; a peer reaches them. With one engine the
    # stream was not hedged, as no other engine was there.
    async def check():
        engines = make_engines(prefill_count=1, decode_count=decode_count)
        for engine in engines:
            engine.faults.event_pause_s = 0.2
        links = EndpointLinks()
        async with contextlib.AsyncExitStack() as stack:
            first = await stack.enter_async_context(
                run_gateway(tmp_path, engines, links=links)
            )
            other = await stack.enter_async_context(
                run_gateway(tmp_path, name='front-2', site=first.site)
            )
            for one in (first, other):
                await one.wait_until(functools.partial(has_live_peers, one, 1))
            started = time.monotonic()
            sending = asyncio.create_task(read_stream(first))
            await first.wait_until(lambda: count_runs(engines) == 1)
            await asyncio.sleep(0.25)
            await links.cut(Cut.HANGING)
            cut_at = time.monotonic() - started
            with contextlib.suppress(TimeoutError):
                status, body, whole = await sending
            took = time.monotonic() - started
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert took - cut_at < 2.5

    run(check())


def test_slow_caller_is_no_silence_of_the_engine(
    tmp_path, numbers, monkeypatch
):
    # The caller reads slowly, and its engine counted as silent meanwhile.
    write = EventRelay._write_before_deadline

    async def write_slowly(relay, response, data):
        await write(relay, response, data)
        if relay.state.last == 2:
            await asyncio.sleep(1.6)

    async def check():
        monkeypatch.setattr(EventRelay, '_write_before_deadline', write_slowly)
        engines = make_engines(decode_count=2)
        for engine in engines:
            engine.faults.event_pause_s = 0.05
        async with run_gateway(tmp_path, engines) as harness:
            status, body, whole = await read_stream(harness)
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert count_runs(engines) == 1

    run(check())


def test_silent_attempt_that_is_refused_counts_as_no_run(tmp_path):
    # An engine refuses after it was silent: the request counted as run, so that
    # its caller was told that this is unknown, and a run less was left.
    async def check():
        engines = make_engines(decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            core = harness.gateway.core
            call = types.SimpleNamespace(
                hop=None,
                workspace=None,
                deadline=core.now() + 8,
                head=types.SimpleNamespace(identity='r-1'),
                service=types.SimpleNamespace(name='drafter'),
                route=types.SimpleNamespace(
                    repeatable=True, resumable=True, max_attempts=2
                ),
            )
            attempts = Attempts(core, call)
            attempts.started = 1
            assert attempts.may_hedge(Silent(), 'generator-0')
            attempts.record('generator-0', Failure(Refused(503)))
            assert attempts.runs == 0

    run(check())


def test_engine_that_was_left_works_on_for_a_short_time(tmp_path):
    # The engine that was left worked on for more than the 400 ms that are
    # allowed after its successor has begun, which is with its first event.
    async def check():
        engines = make_engines(decode_count=2)
        be_silent(engines, 2, silent_s=3.0)
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness))
            await harness.wait_until(lambda: count_runs(engines[2:]) == 1)
            other = find_unused(engines[2:])
            other.faults.slow_head_s = 1.0
            other.faults.silent_after = None
            await harness.wait_until(lambda: len(other.runs) == 1)
            begun = time.monotonic()
            await harness.wait_until(
                lambda: any(one.cancelled for one in engines[2:])
            )
            took = time.monotonic() - begun
            await sending
            assert took - other.faults.slow_head_s < 0.4

    run(check())


def test_refusal_of_the_successor_keeps_a_late_prefill(tmp_path, numbers):
    # The successor's prefill was ready first and ended the other one; then its
    # decode engines refused, and the request was refused.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = 1.6
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness, '/summary/1'))
            await asyncio.sleep(0.5)
            for engine in engines[:2]:
                engine.faults.prefill_delay_s = 0
            await harness.wait_until(
                lambda: any(one.prefills for one in engines[:2])
            )
            status, body, whole = await sending
            assert (status, whole) == (200, True)

    run(check())


def test_successor_with_an_error_answer_and_an_engine_that_is_gone(tmp_path):
    # The only answer of an endpoint was dropped, and the caller waited in vain.
    async def check():
        engines = make_engines(decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            for engine in engines[2:]:
                engine.faults.stall_after = 0
            sending = asyncio.create_task(read_stream(harness))
            await harness.wait_until(lambda: count_runs(engines[2:]) == 1)
            other = find_unused(engines[2:])

            async def fail(request, headers):
                other.runs.append(headers)
                return web.Response(
                    status=400,
                    headers={
                        f'{PREFIX}Request-Id': headers[f'{PREFIX}Request-Id'],
                        f'{PREFIX}Server-Stamp': f'0000-{other.name}',
                    },
                )

            other._decode = fail
            begun = time.monotonic()
            status, body, whole = await sending
            assert status == 400
            assert time.monotonic() - begun < 3

    run(check())


def test_hedge_without_another_engine_leaves_the_silent_one_alone(
    tmp_path, numbers
):
    # The successor's engine left while the prompt was prefilled: the request
    # was sent again to the engine at which the silent attempt was open.
    async def check():
        engines = make_engines(decode_count=2)
        be_silent(engines, 2, silent_s=2.2)
        route = make_route(
            '/summary/', 'stream', 'drafter', resumable=True, timeoutMs=8000
        )
        manifest = {'routes': [route]}
        async with run_gateway(tmp_path, engines, manifest=manifest) as harness:
            sending = asyncio.create_task(read_stream(harness))
            await harness.wait_until(lambda: count_runs(engines[2:]) == 1)
            first = next(one for one in engines[2:] if one.runs)
            other = find_unused(engines[2:])
            for engine in engines[:2]:
                engine.faults.prefill_delay_s = 0.4
            await harness.wait_until(lambda: harness.log_lines('silent'))
            harness.site.unlist(other.name)
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert len(first.runs) == 1

    run(check())


def test_hedge_is_charged_once_and_leaves_nothing_open(tmp_path, numbers):
    # The budget was charged twice, or a send, a load or a task was left over.
    async def check():
        engines = make_engines(decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            for engine in engines[2:]:
                engine.faults.stall_after = 2
            core = harness.gateway.core
            budget = core.get_retry_budget('drafter')
            before = len(budget._sends)
            sending = asyncio.create_task(read_stream(harness))
            await harness.wait_until(lambda: count_runs(engines[2:]) == 1)
            find_unused(engines[2:]).faults.stall_after = None
            status, body, whole = await sending
            assert len(budget._sends) - before == 2
            await asyncio.sleep(0.05)
            assert not core.placement.load_table.totals('generator-0').streams
            assert not core.placement.load_table.totals('generator-1').streams
            assert all(
                not core.endpoint_health.get(one.name).open for one in engines
            )
            names = [
                task.get_coro().__qualname__ for task in asyncio.all_tasks()
            ]
            assert 'StreamFlow._run_branch' not in names

    run(check())


@pytest.mark.parametrize('path', ['/summary/1', '/blurb/1'])
def test_wait_for_a_permit_is_no_silence_of_the_engine(tmp_path, numbers, path):
    # A request waited for a permit before it was sent, and its engine counted
    # as silent and failed meanwhile.
    async def check():
        engines = make_engines(decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            core = harness.gateway.core
            core.limiter = SlowLimiter(core.limiter)
            sending = asyncio.create_task(read_stream(harness, path))
            await asyncio.sleep(1.3)
            rates = [
                core.placement.failures.estimate(one.name, core.now())
                for one in engines
            ]
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert not harness.log_lines('silent')
            assert not any(rates)

    run(check())
