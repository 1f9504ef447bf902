"""Logs that tell how the answer to each accepted request ended."""

import asyncio
import time

import pytest
import uvloop

from .conftest import make_engines, make_plain, run, run_gateway
from .test_silent_streams import be_silent, read_stream, spend_budget


async def find_end(harness):
    """Return how the only request ended, and if its answer had begun."""
    await harness.wait_until(lambda: harness.log_lines('answered'))
    line = harness.log_lines('answered')[0]
    return line['end'], line['begun']


async def wait_and_leave(harness):
    """Send a request and leave before its answer is whole."""
    with pytest.raises(TimeoutError):
        await read_stream(harness, patience_s=0.4)


def test_whole_answer(tmp_path):
    # A whole stream looked like one that was cut off: both were a 200.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            await read_stream(harness)
            assert await find_end(harness) == ('whole', True)

    run(check())


@pytest.mark.parametrize('after', [0, 2])
def test_answer_that_the_endpoint_broke_off(tmp_path, after):
    # An engine that breaks a stream off looked like one that we cut off.
    async def check():
        engines = make_engines()
        engines[-1].faults.break_after = after
        async with run_gateway(tmp_path, engines) as harness:
            spend_budget(harness)
            await read_stream(harness, '/blurb/1')
            end = await find_end(harness)
            assert end == ('broken_off', bool(after))

    run(check())


@pytest.mark.parametrize('after', [0, 2])
def test_answer_whose_caller_left(tmp_path, after):
    # A caller that left looked like one whose connection we had closed.
    async def check():
        engines = make_engines()
        be_silent(engines, after)
        async with run_gateway(tmp_path, engines) as harness:
            await wait_and_leave(harness)
            assert await find_end(harness) == ('caller_left', bool(after))

    run(check())


def test_answer_at_the_end_of_its_time(tmp_path):
    # A request that ran out of time looked like any other failure.
    async def check():
        plain = make_plain()
        for endpoint in plain:
            endpoint.unresponsive = True
        async with run_gateway(tmp_path, plain=plain) as harness:
            headers = {'X-Verbenahall-Deadline-Ms': '300'}
            await harness.send('/proof/1', headers=headers)
            assert await find_end(harness) == ('deadline', False)

    run(check())


def test_stream_at_the_end_of_its_time(tmp_path):
    # The loop's timers fire up to a millisecond early: some streams that had
    # used all their time were answered 502 and logged as cut off by us.
    async def check():
        engines = make_engines()
        for engine in engines:
            engine.faults.slow_head_s = 2.0
        async with run_gateway(tmp_path, engines) as harness:
            answers = [
                await read_stream(harness, time_ms=time_ms)
                for time_ms in range(100, 140)
            ]
            statuses = {status for status, _, _ in answers}
            ends = {line['end'] for line in harness.log_lines('answered')}
            assert (statuses, ends) == ({504}, {'deadline'})

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(check())


def test_refused_request(tmp_path):
    # A refusal that states that nothing has run is a complete answer.
    async def check():
        engines = make_engines()
        async with run_gateway(tmp_path, engines) as harness:
            for engine in engines:
                engine.faults.full = True
            await read_stream(harness)
            assert await find_end(harness) == ('refused', False)

    run(check())


def test_ended_prefill_is_logged_with_what_ended_it(tmp_path):
    # Nothing told why a silent prefill had been closed.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=1)
        for engine in engines[:2]:
            engine.faults.prefill_delay_s = 8
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(read_stream(harness))
            await harness.wait_until(lambda: harness.log_lines('sent'))
            await asyncio.sleep(0.1)
            for engine in engines[:2]:
                engine.faults.prefill_delay_s = 0
            await sending
            lines = harness.log_lines('superseded')
            ended = [(one['prefill'], one['by']) for one in lines]
            assert ended == [(True, 'running')]

    run(check())


def test_process_that_stood_still_is_logged(tmp_path):
    # A pause of our own process looked like one of the endpoints.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            await asyncio.sleep(0.15)
            time.sleep(0.4)
            await harness.wait_until(
                lambda: harness.log_lines('event_loop_late')
            )
            assert harness.log_lines('event_loop_late')[0]['late_s'] > 0.15

    run(check())
