"""Retry budgets through changes, restarts, hops and retries that are not made.

A silent stream is cut off if no retry is allowed, so what empties a budget
beside a change makes pauses of sound engines visible to callers.
"""

import asyncio
import json
import signal

import aiohttp
import pytest
from verbenahall_standins.platform import make_route
from verbenahall_standins.soak import Cut

from .conftest import PREFIX, make_engines, make_plain, run, run_gateway
from .cut_fleet import run_fleet
from .test_forwarding import STREAM_HEAD, make_event
from .test_process import start_instance
from .test_silent_engines import send_as
from .test_silent_streams import be_silent, spend_budget

#: The settings of the stand-ins: 0.2 retries per request and 56 for all
#: instances, of which 0.8 are used, divided by ten instances at least.
RETRIES_PER_REQUEST = 0.16
BURST = 4.48
INSTANCES = 640
REQUEST_ID = f'{PREFIX}Request-Id'


def count_allowed(harness, service='pages'):
    """Use up the budget of a service; return how many sends it allowed."""
    budget = harness.gateway.core.get_retry_budget(service)
    count = 0
    while budget.try_spend():
        count += 1
    return count


def find_allowance(requests):
    """Return the number of sends that a budget allows after requests."""
    return int(BURST + RETRIES_PER_REQUEST * requests)


async def serve_calls(harness, count):
    """Let plain calls be served."""
    for number in range(count):
        status, _, _ = await harness.send(
            '/archive/1', f'served-{number}', method='GET'
        )
        assert status == 200


async def is_stream_whole(harness, numbers, identity='r-1'):
    """Send a stream; return whether all of it arrives."""
    headers = {f'{PREFIX}Deadline-Ms': '8000'}
    try:
        status, _, body = await harness.send(
            '/summary/1', identity, headers=headers
        )
    except aiohttp.ClientPayloadError:
        return False
    return status == 200 and numbers(body) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize('spent', [0, 3])
def test_new_manifest_neither_empties_nor_refills_a_budget(tmp_path, spent):
    # A budget that began anew with a manifest would refuse the retries of the
    # requests under way, or allow more of them than the operators' limit.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain()) as harness:
            await serve_calls(harness, 30)
            assert harness.gateway.core.get_retry_budget('pages').try_spend(
                spent
            )
            for _ in range(3):
                harness.site.publish()
                await harness.wait_for_manifest()
            assert count_allowed(harness) == find_allowance(30) - spent

    run(check())


def test_route_that_moves_to_a_new_service_keeps_its_retries(tmp_path):
    # A manifest renames a service. Its budget knows no request of the old one,
    # so that only the burst is left for the streams that break meanwhile.
    async def check():
        plain = make_plain()
        async with run_gateway(tmp_path, plain=plain) as harness:
            await serve_calls(harness, 30)
            services = harness.site.list_services()
            harness.site.publish(
                routes=[make_route('/archive/', 'idempotent', 'leaves')],
                services=[*services, {**services[1], 'name': 'leaves'}],
            )
            for endpoint in plain:
                harness.site.list_endpoint(endpoint, service='leaves')
            await harness.wait_for_manifest()
            assert count_allowed(harness, 'leaves') == find_allowance(0)
            assert count_allowed(harness) == find_allowance(30)

    run(check())


@pytest.mark.process
def test_hangup_signal_neither_empties_nor_refills_a_budget(tmp_path):
    # The signal comes with each change of the settings file.
    async def check():
        async with start_instance(tmp_path, plain_count=2) as (instance, site):
            for endpoint in site.plain:
                endpoint.status = 500
            for sent in range(40):
                if sent in {10, 20}:
                    instance.started.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.1)
                assert (await instance.send())[0] == 500
            async with asyncio.timeout(5):
                while instance.read_events().count('answered') < 40:
                    await asyncio.sleep(0.05)
            lines = [
                json.loads(line)
                for line in instance.output.read_text().splitlines()
            ]
            decided = [
                line['next']
                for line in lines
                if line['event'] == 'attempt_failed'
            ]
            assert sum(line['event'] == 'reload' for line in lines) == 2
            assert decided.count('repeat') == find_allowance(40)

    run(check())


def test_stream_is_whole_right_after_a_restart(tmp_path, numbers, monkeypatch):
    # An instance of a large fleet has just started: without requests in its
    # window it may not retry, and a pause of a sound engine cut streams off.
    monkeypatch.setattr('verbenahall.gateway._core._MIN_INSTANCES', INSTANCES)

    async def check():
        engines = make_engines(decode_count=2)
        be_silent(engines, 2)
        async with run_gateway(tmp_path, engines) as harness:
            assert await is_stream_whole(harness, numbers)

    run(check())


def count_retried_sends(engines):
    """Return the number of sends beyond the first of each request and stage."""
    stages = (
        [request for one in engines for request in one.prefills],
        [request for one in engines for request in one.runs],
    )
    return sum(
        len(requests) - len({request[REQUEST_ID] for request in requests})
        for requests in stages
    )


@pytest.mark.parametrize('prefill_count', [2, 0])
def test_retries_at_the_only_engine_are_charged_as_sent(
    tmp_path, numbers, prefill_count
):
    # Streams break at the only decode engine and are sent to it again: a charge
    # without a send would keep later streams from being resumed.
    async def check():
        engines = make_engines(prefill_count, decode_count=1)
        engines[-1].faults.break_after = 2
        async with run_gateway(tmp_path, engines) as harness:
            for number in range(4):
                whole = await is_stream_whole(harness, numbers, f'r-{number}')
                assert not whole
            retried = count_retried_sends(engines)
            assert retried > 0
            allowed = find_allowance(4) - retried
            assert count_allowed(harness, 'drafter') == allowed

    run(check())


def test_retry_that_finds_no_endpoint_is_not_charged(tmp_path):
    # The only endpoint fails repeatable calls. None of them can be sent to
    # another one, but each charged the budget.
    async def check():
        plain = make_plain(1)
        plain[0].status = 500
        async with run_gateway(tmp_path, plain=plain) as harness:
            for number in range(4):
                status, _, _ = await harness.send(
                    '/archive/1', f'failed-{number}', method='GET'
                )
                assert status == 500
            assert len(plain[0].runs) == 4
            assert count_allowed(harness) == find_allowance(4)

    run(check())


def test_silent_streams_are_whole_beside_a_role_change(tmp_path, numbers):
    # An engine that changes its role refuses requests while it is still listed.
    # Its refusals empty the budget, and a pause of the other engine cut streams
    # off.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        be_silent(engines, 2)
        async with run_gateway(tmp_path, engines) as harness:
            engines[-1].faults.full = True
            whole = await asyncio.gather(
                *(
                    is_stream_whole(harness, numbers, f'r-{number}')
                    for number in range(4)
                )
            )
            assert all(whole)

    run(check())


def test_refusals_of_an_engine_that_changes_its_role_are_charged(tmp_path):
    # The operators' limit counts refused sends, too.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            engines[2].faults.full = True
            for number in range(30):
                subject = f'{number:x}'
                assert await send_as(harness, subject, 0, '/summary/1') == 200
            refused = harness.log_lines('attempt_failed')
            assert refused
            allowed = count_allowed(harness, 'drafter')
            assert allowed == find_allowance(30) - len(refused)

    run(check())


def test_stream_of_a_frozen_peer_is_whole_if_no_other_may_go_on(
    tmp_path, numbers
):
    # A peer sends no heartbeat for a while, and goes on. The hop was given up
    # before it was known that the next peer has no retry budget.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut, other = fleet.harnesses
            await fleet.lose_endpoints(Cut.RESET)
            spend_budget(other)
            events = [make_event(number) for number in range(1, 6)]
            answer = (
                STREAM_HEAD,
                *events[:2],
                2.4,
                *events[2:],
                b'0\r\n\r\n',
            )
            async with fleet.run_peer(answer, is_frozen=True):
                assert await is_stream_whole(cut, numbers)

    run(check())


def test_hop_after_a_charged_retry_is_not_charged_again(tmp_path):
    # Charged at both instances, the retries of a lost path use up two budgets.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut, other = fleet.harnesses
            budget = other.gateway.core.get_retry_budget('pages')
            spent = []
            budget_spend = type(budget).try_spend

            def record_spend(self, sends=1):
                spent.append(self is budget)
                return budget_spend(self, sends)

            await fleet.lose_endpoints(Cut.RESET)
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(type(budget), 'try_spend', record_spend)
                status, _, _ = await cut.send('/archive/1', method='GET')
            assert status == 200
            assert not any(spent)

    run(check())
