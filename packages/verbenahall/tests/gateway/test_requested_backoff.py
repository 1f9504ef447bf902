"""An endpoint refuses requests and states for how long it wants none."""

import asyncio
import time

import pytest

from verbenahall.platform import read_answer_head

from .conftest import make_engines, make_plain, run, run_gateway
from .notices import (
    MAX_ARRIVALS,
    count_arrivals_in_backoff,
    send_every,
    send_until,
    send_until_arrival,
)

BACKOFF_S = 3
STATED = '3'


async def find_next(harness, engines, served):
    """Return the engine that serves the next request in a role."""

    def list_changed():
        counts = [len(getattr(one, served)) for one in engines]
        return [
            one
            for one, count, earlier in zip(engines, counts, before, strict=True)
            if count > earlier
        ]

    before = [len(getattr(one, served)) for one in engines]
    await harness.wait_until(list_changed)
    return list_changed()[0]


def refuse(endpoint, backoff_s=BACKOFF_S):
    """Have a stand-in refuse all requests and request a backoff."""
    if endpoint.role:
        endpoint.faults.full = True
    else:
        endpoint.refuses = True
    endpoint.notices.request_backoff(backoff_s)


def request_backoff(harness, name, stated=STATED):
    """Have an endpoint's answer request a backoff."""
    endpoints = harness.gateway.core.endpoints
    entry = harness.gateway.core.roster.find_entry(name)
    head = read_answer_head(503, {'Retry-After': stated})
    endpoints.notices.record_answer(entry, head, 'request')
    return entry


def test_endpoint_gets_no_requests_in_a_requested_backoff(tmp_path):
    """A refusal put an endpoint aside for half a second, whatever it stated."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(3)) as harness:
            refusing = harness.site.plain[0]
            refusing.refuses = True
            refusing.notices.request_backoff(3)
            answers = await send_every(harness, ['/archive/1', '/proof/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert refusing.notices.sent
            assert count_arrivals_in_backoff(refusing) <= MAX_ARRIVALS

    run(check())


@pytest.mark.parametrize('served', ['prefills', 'runs'])
def test_engine_gets_no_requests_in_a_requested_backoff(tmp_path, served):
    """A refused send with a handle did not count as a refusal."""

    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            await harness.send('/summary/1')
            paths = ['/summary/1', '/blurb/1']
            sending = asyncio.create_task(send_every(harness, paths, 3))
            # Which engine is preferred changes if a send fails, as a pause of
            # the process may have it.
            refusing = await find_next(harness, engines, served)
            refuse(refusing)
            answers = await sending
            assert {status for status, _, _ in answers} == {200}
            assert refusing.notices.sent
            assert count_arrivals_in_backoff(refusing) <= MAX_ARRIVALS

    run(check())


def test_engine_in_backoff_gets_no_control_calls(tmp_path):
    """Reports, orders and freed handles did not pass the checks of a send."""

    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            calls = harness.gateway.core.endpoints
            entry = request_backoff(harness, 'reader-0', '0.5')
            engine_calls = harness.gateway.core.engines
            before = len(engines[0].notices.arrivals)
            freeing = asyncio.create_task(
                engine_calls.free_handle(entry, 'handle-1')
            )
            await engine_calls.fetch_report(entry)
            assert len(engines[0].notices.arrivals) == before
            assert calls.notices.find_backoff_s(entry)
            await freeing
            assert engines[0].freed == ['handle-1']

    run(check())


def test_answer_that_comes_later_does_not_end_the_backoff(tmp_path):
    """A request from before the refusal is answered well during the backoff."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(2)) as harness:
            endpoint = harness.site.plain[0]
            endpoint.delay_s = 0.4
            harness.site.plain[1].delay_s = 0.4
            slow = await send_until_arrival(harness, endpoint)
            request_backoff(harness, endpoint.name)
            before = len(endpoint.notices.arrivals)
            assert before
            await asyncio.gather(*slow)
            harness.site.plain[1].delay_s = 0
            await send_every(harness, ['/archive/1'], 1)
            assert len(endpoint.notices.arrivals) == before

    run(check())


def test_entry_that_lapses_and_returns_does_not_end_the_backoff(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(2)) as harness:
            endpoint = harness.site.plain[0]
            roster = harness.gateway.core.roster
            request_backoff(harness, endpoint.name)
            harness.site.unlist(endpoint.name)
            await harness.wait_until(
                lambda: endpoint.name not in roster.listings
            )
            harness.site.list_endpoint(endpoint)
            await harness.wait_until(lambda: endpoint.name in roster.listings)
            await send_every(harness, ['/archive/1'], 1)
            assert not endpoint.notices.arrivals

    run(check())


@pytest.mark.parametrize('path', ['/archive/1', '/blurb/1'])
def test_request_is_refused_at_once_if_all_endpoints_back_off(tmp_path, path):
    """Sent nevertheless, it would be refused; held, it would be too late."""

    async def check():
        engines = make_engines(prefill_count=1, decode_count=2)
        plain = make_plain(2)
        async with run_gateway(tmp_path, engines, plain) as harness:
            for endpoint in (*engines, *plain):
                refuse(endpoint, 30)
            await send_every(harness, [path], 1)
            for number in range(5):
                started = time.monotonic()
                status, headers, _ = await harness.send(path, f'r-{number}')
                assert (status, time.monotonic() - started < 0.3) == (429, True)
                # The caller waits three seconds, and returns within a third.
                assert 0 < float(headers['Retry-After']) <= 1
            reason = harness.log_lines('given_up')[-1]['reason']
            assert 'requested a backoff' in reason
            for endpoint in (*engines, *plain):
                assert count_arrivals_in_backoff(endpoint) == 0

    run(check())


def test_endpoint_gets_few_requests_at_the_end_of_its_backoff(tmp_path):
    """Callers that were told when to return arrived all at once."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            endpoint = harness.site.plain[0]
            endpoint.delay_s = 0.1
            request_backoff(harness, endpoint.name, '0.3')
            await asyncio.sleep(0.35)
            await send_every(harness, ['/archive/1'], 0.2, every_s=0.005)
            arrivals = [one.at for one in endpoint.notices.arrivals]
            assert arrivals[1] - arrivals[0] > 0.09
            assert len(arrivals) > 2

    run(check())


@pytest.mark.parametrize('stated', ['0', '-3', 'soon', 'nan', ''])
def test_invalid_backoff_counts_as_a_plain_refusal(tmp_path, stated):
    """A faulty header must neither fail the request nor stop the endpoint."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(2)) as harness:
            refusing = harness.site.plain[0]
            refusing.refuses = True
            refusing.notices.retry_after = (stated,)
            statuses = await send_until(
                harness,
                '/archive/1',
                lambda: harness.log_lines('backoff_requested'),
            )
            assert set(statuses) == {200}
            assert harness.log_lines('backoff_requested')[0]['for_s'] == 0
            refusing.refuses = False
            await asyncio.sleep(0.5)
            await send_until(harness, '/archive/1', lambda: refusing.runs)

    run(check())


def test_caller_does_not_get_the_endpoints_retry_after(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            refuse(harness.site.plain[0], 77)
            status, headers, _ = await harness.send('/archive/1')
            assert status in {429, 503}
            assert float(headers['Retry-After']) <= 1

    run(check())
