"""Requests that wait in the prefill queue, and their callers."""

import asyncio

from verbenahall.gateway import _prefill_queues as prefill_queues
from verbenahall.placement import dispatch

from .conftest import PREFIX, make_engines, run, run_gateway

#: A prompt whose prefill takes long enough for the next request to be queued.
LONG = {
    f'{PREFIX}Token-Count': '60000,50',
    f'{PREFIX}Prompt-Prefix': 'aa:50000,bb:10000',
}


def send_long(harness, identity, **changes):
    headers = {**LONG, **changes}
    return harness.send('/summary/1', identity, headers=headers)


async def start_queued(harness, identity='r-2', **changes):
    """Send a request and queue another behind it; return both tasks."""
    first = asyncio.create_task(send_long(harness, 'r-1'))
    await harness.wait_until(lambda: harness.log_lines('placed'))
    second = asyncio.create_task(send_long(harness, identity, **changes))
    await harness.wait_until(lambda: harness.log_lines('queued'))
    return first, second


def make_slow_engines(read_s=0.4):
    engines = make_engines(prefill_count=1)
    engines[0].faults.prefill_delay_s = read_s
    return engines


def test_second_prompt_waits_and_is_served(tmp_path):
    async def check():
        engines = make_slow_engines()
        async with run_gateway(tmp_path, engines) as harness:
            tasks = await start_queued(harness)
            answers = await asyncio.gather(*tasks)
            assert [status for status, _, _ in answers] == [200, 200]
            queued = harness.log_lines('queued')[0]
            assert queued['request'] == 'r-2'
            assert queued['waiting'] == 1

    run(check())


def test_prompt_of_a_disconnected_caller_is_not_prefilled(tmp_path):
    # A caller disconnects while its request is queued. Its prompt must not be
    # prefilled, which would delay the requests of other callers.
    async def check():
        engines = make_slow_engines()
        async with run_gateway(tmp_path, engines) as harness:
            first, second = await start_queued(harness)
            second.cancel()
            await harness.wait_until(
                lambda: len(harness.log_lines('answered')) == 1
            )
            status, _, _ = await first
            assert status == 200
            read = [one[f'{PREFIX}Request-Id'] for one in engines[0].prefills]
            assert read == ['r-1']
            load_table = harness.gateway.core.placement.load_table
            await harness.wait_until(lambda: not load_table.local_loads())

    run(check())


def test_request_that_cannot_be_served_is_refused_at_once(tmp_path):
    # The expected wait in the queue exceeds the request's deadline, so it must
    # be refused at once rather than at the deadline.
    async def check():
        async with run_gateway(tmp_path, make_slow_engines(1.5)) as harness:
            changes = {f'{PREFIX}Deadline-Ms': '90'}
            first = asyncio.create_task(send_long(harness, 'r-1'))
            await harness.wait_until(lambda: harness.log_lines('placed'))
            status, headers, _ = await send_long(harness, 'r-2', **changes)
            assert status == 429
            assert float(headers['Retry-After']) > 0
            given_up = harness.log_lines('given_up')[0]
            assert given_up['ran'] == 'no'
            assert given_up['took_s'] < 0.06
            first.cancel()

    run(check())


def test_returning_caller_is_recognized_by_its_shorter_deadline(tmp_path):
    # Callers of a route wait for the same time in total. One that retries after
    # a refusal has less of it left, and its objective counts from its first
    # attempt.
    async def check():
        async with run_gateway(tmp_path, make_slow_engines(0)) as harness:
            await send_long(harness, 'r-1')
            await send_long(harness, 'r-2', **{f'{PREFIX}Deadline-Ms': '2000'})
            waited = [one['waited_s'] for one in harness.log_lines('accepted')]
            assert waited == [0, 1]

    run(check())


def test_callers_with_a_little_less_patience_are_no_returning_ones(tmp_path):
    # Deadlines differ a little between callers. A first attempt that is taken
    # for a retry counts as past its objective on arrival, and is queued behind
    # all others although it could be served in time.
    async def check():
        async with run_gateway(tmp_path, make_slow_engines(0)) as harness:
            for number, wait_ms in enumerate((3000, 2900, 2700, 2560)):
                changes = {f'{PREFIX}Deadline-Ms': str(wait_ms)}
                await send_long(harness, f'r-{number}', **changes)
            waited = [one['waited_s'] for one in harness.log_lines('accepted')]
            assert waited == [0, 0, 0, 0]

    run(check())


def test_callers_with_a_much_shorter_deadline_are_no_returning_ones(tmp_path):
    # Some callers of a route have a third of the time of others. Taken for
    # returning ones, all their requests count as late on arrival and get what
    # the others leave over, so that they are never served under load.
    async def check():
        async with run_gateway(tmp_path, make_slow_engines(0)) as harness:
            for number, wait_ms in enumerate((3000, 1000, 1000)):
                changes = {f'{PREFIX}Deadline-Ms': str(wait_ms)}
                await send_long(harness, f'r-{number}', **changes)
            waited = [one['waited_s'] for one in harness.log_lines('accepted')]
            assert waited == [0, 0, 0]

    run(check())


def test_deadline_beyond_the_timeout_does_not_make_others_late(tmp_path):
    # One caller states a deadline that no answer may take. All others would
    # count as returning ones for as long as the instance runs.
    async def check():
        async with run_gateway(tmp_path, make_slow_engines(0)) as harness:
            for number, wait_ms in enumerate((4_300, 3000, 3000)):
                changes = {f'{PREFIX}Deadline-Ms': str(wait_ms)}
                await send_long(harness, f'r-{number}', **changes)
            waited = [one['waited_s'] for one in harness.log_lines('accepted')]
            assert waited == [0, 0, 0]

    run(check())


class FailingRuns:
    """Runs over the queue that fail while ``is_failing`` is set."""

    def __init__(self, monkeypatch):
        self.is_failing = False
        monkeypatch.setattr(prefill_queues, 'dispatch', self._dispatch)

    def _dispatch(self, *arguments):
        if self.is_failing:
            raise ZeroDivisionError('a run fails')
        return dispatch(*arguments)


def test_failed_run_over_the_queue_is_repeated(tmp_path, monkeypatch):
    # A run failed while a request waited. No run followed it, and the request
    # waited for as long as its caller did; the one before it got 500.
    runs = FailingRuns(monkeypatch)

    async def check():
        async with run_gateway(tmp_path, make_slow_engines()) as harness:
            first, second = await start_queued(harness)
            runs.is_failing = True
            answered = [await first]
            runs.is_failing = False
            async with asyncio.timeout(2):
                answered.append(await second)
            assert [status for status, _, _ in answered] == [200, 200]

    run(check())


def test_waiting_request_is_refused_if_all_runs_fail(tmp_path, monkeypatch):
    # Nothing but a run over the queue ended the wait.
    runs = FailingRuns(monkeypatch)

    async def check():
        async with run_gateway(tmp_path, make_slow_engines()) as harness:
            first, second = await start_queued(harness)
            runs.is_failing = True
            async with asyncio.timeout(3):
                answers = await asyncio.gather(first, second)
            assert [status for status, _, _ in answers] == [200, 429]
            given_up = harness.log_lines('given_up')[0]
            assert given_up['ran'] == 'no'

    run(check())
