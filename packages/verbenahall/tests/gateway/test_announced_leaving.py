"""An endpoint states in its answers that it leaves, before the store does."""

import asyncio
import time

import pytest

from verbenahall.platform import read_answer_head

from .conftest import make_engines, make_plain, run, run_gateway
from .notices import list_late_arrivals, send_every


def test_endpoint_that_announces_its_leaving_gets_no_requests(tmp_path):
    """The store confirms the leaving seconds after the endpoint's answers."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(3)) as harness:
            leaving = harness.site.plain[0]
            leaving.notices.leaving = True
            answers = await send_every(harness, ['/archive/1', '/proof/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert leaving.notices.sent
            assert not list_late_arrivals(leaving)

    run(check())


def test_leaving_is_heeded_while_the_store_is_unresponsive(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(3)) as harness:
            harness.site.store.faults.silent = True
            await harness.wait_for_polls()
            leaving = harness.site.plain[0]
            leaving.notices.leaving = True
            answers = await send_every(harness, ['/archive/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert leaving.notices.sent
            assert not list_late_arrivals(leaving)

    run(check())


@pytest.mark.parametrize('served', ['prefills', 'runs'])
def test_leaving_engine_gets_no_requests(tmp_path, served):
    """Prefill answers and the heads of streams state it, too."""

    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            await harness.send('/summary/1')
            leaving = next(one for one in engines if getattr(one, served))
            leaving.notices.leaving = True
            answers = await send_every(harness, ['/summary/1', '/blurb/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert leaving.notices.sent
            assert not list_late_arrivals(leaving)

    run(check())


def test_refusal_states_that_the_endpoint_leaves(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(2)) as harness:
            leaving = harness.site.plain[0]
            leaving.refuses = True
            leaving.notices.leaving = True
            await send_every(harness, ['/archive/1'], 1)
            assert len(leaving.notices.arrivals) == 1

    run(check())


def test_answer_to_a_control_call_states_that_the_engine_leaves(tmp_path):
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            core = harness.gateway.core
            engines[0].notices.leaving = True
            entry = core.roster.find_entry('reader-0')
            await core.engines.fetch_report(entry)
            await send_every(harness, ['/summary/1'], 1)
            assert not engines[0].prefills

    run(check())


def test_report_states_that_the_engine_leaves(tmp_path):
    """Its report has a state beside the role, which nobody read."""

    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            core = harness.gateway.core
            engines[2].state = 'draining'
            entry = core.roster.find_entry('generator-0')
            await core.engines.fetch_report(entry)
            assert not core.roster.is_live('generator-0', core.now())
            await send_every(harness, ['/summary/1'], 1)
            assert not engines[2].runs

    run(check())


def test_request_that_waits_is_not_sent_to_an_engine_that_leaves(tmp_path):
    """The engine is chosen before the prefill, and left during it."""

    async def check():
        engines = make_engines(prefill_count=1, decode_count=2)
        engines[0].faults.prefill_delay_s = 0.4
        async with run_gateway(tmp_path, engines) as harness:
            sending = asyncio.create_task(harness.send('/summary/1'))
            await harness.wait_until(lambda: harness.log_lines('placed'))
            chosen = harness.log_lines('placed')[0]['generator']
            harness.gateway.core.endpoints.notices.record_answer(
                harness.gateway.core.roster.find_entry(chosen),
                make_leaving_head(),
                'request',
            )
            status, _, _ = await sending
            assert status == 200
            by_name = {one.name: one for one in engines}
            assert not by_name[chosen].runs

    run(check())


@pytest.mark.parametrize('path', ['/archive/1', '/summary/1'])
def test_request_is_refused_at_once_if_all_endpoints_leave(tmp_path, path):
    """Held until its deadline, it could not be sent elsewhere any more."""

    async def check():
        engines = make_engines(prefill_count=1, decode_count=1)
        plain = make_plain(1)
        async with run_gateway(tmp_path, engines, plain) as harness:
            for endpoint in (*engines, *plain):
                endpoint.notices.leaving = True
            await harness.send(path, 'r-1')
            for number in range(2, 6):
                started = time.monotonic()
                status, headers, _ = await harness.send(path, f'r-{number}')
                assert (status, time.monotonic() - started < 0.3) == (503, True)
                # The caller waits three seconds, and returns within a third.
                assert 0 < float(headers['Retry-After']) <= 1
            reason = harness.log_lines('given_up')[-1]['reason']
            assert reason == 'the last endpoints of the service leave'

    run(check())


def test_misdirected_answer_says_nothing_about_the_endpoint(tmp_path):
    """Another endpoint at the same address answers 421."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            endpoint = harness.gateway.core.roster.find_entry('page-0')
            harness.gateway.core.endpoints.notices.record_answer(
                endpoint, make_leaving_head(misdirected=True), 'request'
            )
            status, _, _ = await harness.send('/archive/1', method='GET')
            assert status == 200

    run(check())


def make_leaving_head(*, misdirected=False):
    """Return the head of an answer that states that the endpoint leaves."""
    status = 421 if misdirected else 200
    return read_answer_head(status, {'Server-Leaving': '1'})
