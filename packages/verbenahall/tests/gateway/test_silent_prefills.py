"""Prefill engines that are silent for a while, and requests that run once."""

import asyncio
import time

import pytest

from .conftest import make_engines, run, run_gateway
from .test_silent_streams import SILENT_S, count_runs, read_stream

#: Routes of streams that may run repeatedly, and once.
ROUTES = ['/summary/1', '/blurb/1']
#: Time within which a silent prefill is hedged, in seconds.
HEDGED_S = 1.3


async def pause(engines, harness):
    """Let the first prefill engine that gets the prompt be silent.

    The others answer at once. Returns the silent engine.
    """
    await harness.wait_until(
        lambda: any(one.exchanges.records for one in engines)
    )
    await asyncio.sleep(0.1)
    for engine in engines:
        engine.faults.prefill_delay_s = 0
    return next(one for one in engines if one.exchanges.records)


def test_request_that_may_run_once_awaits_its_only_prefill(tmp_path, numbers):
    # The only run of a request was spent on a decode engine that broke it off,
    # although the prefill engine was sound and went on a moment later.
    async def check():
        engines = make_engines(prefill_count=1, decode_count=2)
        engines[0].faults.prefill_delay_s = SILENT_S
        for engine in engines[1:]:
            engine.faults.break_after = 0
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness, '/blurb/1'))
            await asyncio.sleep(HEDGED_S)
            for engine in engines[1:]:
                engine.faults.break_after = None
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert count_runs(engines) == 1

    run(check())


@pytest.mark.parametrize('path', ROUTES)
def test_silent_prefill_is_hedged_by_another_prefill(tmp_path, path):
    # The second branch sent the whole request to a decode engine, as that
    # looked cheaper than a prefill engine that had failed before.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = SILENT_S
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness, path))
            silent = await pause(engines[:2], harness)
            other = next(one for one in engines[:2] if one is not silent)
            core = harness.gateway.core
            for _ in range(2):
                core.placement.failures.record(
                    other.name, core.now(), failed=True
                )
            await sending
            readers = [one['reader'] for one in harness.log_lines('placed')]
            assert readers == [silent.name, other.name]

    run(check())


@pytest.mark.parametrize('path', ROUTES)
def test_silent_prefill_is_kept_until_its_successor_runs(
    tmp_path, numbers, path
):
    # The prefill was ended as its successor was sent, and then all decode
    # engines refused that.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = SILENT_S
        for engine in engines[2:]:
            engine.faults.full = True
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness, path))
            await pause(engines[:2], harness)
            await asyncio.sleep(HEDGED_S)
            for engine in engines[2:]:
                engine.faults.full = False
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert count_runs(engines) == 1

    run(check())


def test_request_that_may_run_once_is_sent_by_one_branch(tmp_path, numbers):
    # The late prefill was ready while the successor waited for the head of its
    # answer, and the request was sent to a second decode engine.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = SILENT_S
        for engine in engines[2:]:
            engine.faults.slow_head_s = 0.9
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness, '/blurb/1'))
            await pause(engines[:2], harness)
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert count_runs(engines) == 1
            assert len(harness.log_lines('read')) == 2

    run(check())


def test_request_that_may_have_run_ends_its_silent_prefill(tmp_path):
    # The successor's engine crashed, and the request that may run once was sent
    # again after the late prefill, or its caller was told nothing until then.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = 2.5
        for engine in engines[2:]:
            engine.faults.crash_on = ''
        async with run_gateway(tmp_path, engines) as harness:
            started = time.monotonic()
            sending = asyncio.create_task(read_stream(harness, '/blurb/1'))
            await pause(engines[:2], harness)
            status, _, _ = await sending
            assert status == 504
            assert time.monotonic() - started < 2
            await asyncio.sleep(1)
            assert count_runs(engines) == 1

    run(check())


@pytest.mark.parametrize('path', ROUTES)
def test_prefill_engine_that_is_gone_is_left_in_time(tmp_path, numbers, path):
    # Callers leave after two seconds without an event.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = 60
        async with run_gateway(tmp_path, engines) as harness:
            started = time.monotonic()
            sending = asyncio.create_task(read_stream(harness, path))
            await pause(engines[:2], harness)
            status, body, whole = await sending
            assert (status, whole) == (200, True)
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert time.monotonic() - started < 1.6

    run(check())
