"""The request path: routes, headers, answers, streams, disconnects."""

import asyncio

import pytest

from .conftest import HOST, PREFIX, make_engines, make_plain, run, run_gateway

FORGED = {
    f'{PREFIX}Expect-Instance': 'somebody',
    f'{PREFIX}Stage': 'prefill',
    f'{PREFIX}Kv-From': '10.0.0.1:80/stolen',
    f'{PREFIX}Kv-Hold': 'h',
    f'{PREFIX}Kv-Backup': '10.0.0.1:80',
    f'{PREFIX}Pin-Ms': '9000',
    f'{PREFIX}Request-Priority': '0',
}


def test_plain_answer_is_returned_unchanged(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            target = '/archive/a%2Fb?page=2&x=%20'
            status, headers, body = await harness.send(target, method='GET')
            assert (status, body) == (200, b'page from page-0')
            assert headers[f'{PREFIX}Server-Stamp'] == 'stand-in-page-0'
            ran = harness.site.plain[0].runs[0]
            assert ran['target'] == target
            assert ran[f'{PREFIX}Request-Id'] == 'r-1'
            assert ran[f'{PREFIX}Expect-Instance'] == 'page-0'
            assert 0 < int(ran[f'{PREFIX}Deadline-Ms']) <= 3000

    run(check())


def test_body_and_headers_reach_the_endpoint(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            await harness.send(
                '/proof/1',
                data=b'a body',
                headers={'X-Own': 'kept', 'Connection': 'keep-alive, X-Hop'},
            )
            ran = harness.site.plain[0].runs[0]
            assert ran['body'] == 'a body'
            assert ran['X-Own'] == 'kept'

    run(check())


def test_internal_headers_of_callers_are_dropped(tmp_path):
    # A caller sends internal headers, which select endpoints and KV cache.
    # Forwarded, they would let it continue another caller's prompt.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            status, _, _ = await harness.send('/blurb/1', headers=FORGED)
            assert status == 200
            generated = harness.site.engines[2].runs[0]
            assert generated[f'{PREFIX}Expect-Instance'] == 'generator-0'
            assert 'stolen' not in generated[f'{PREFIX}Kv-From']
            for name in ('Kv-Hold', 'Kv-Backup', 'Pin-Ms', 'Stage'):
                assert PREFIX + name not in generated
            assert generated[f'{PREFIX}Request-Priority'] == '1'

    run(check())


def test_unknown_path_is_not_found(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            status, _, _ = await harness.send('/nothing/1')
            assert status == 404

    run(check())


def test_stream_is_prefilled_and_decoded_on_different_engines(
    tmp_path,
    numbers,
):
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            status, headers, body = await harness.send('/summary/1')
            assert status == 200
            assert numbers(body) == [1, 2, 3, 4, 5]
            assert headers[f'{PREFIX}Server-Stamp'] == 'stand-in-generator-0'
            prefills = [len(one.prefills) for one in harness.site.engines]
            assert sum(prefills) == 1
            assert len(harness.site.engines[2].runs) == 1

    run(check())


def test_requests_with_a_shared_prefix_use_one_prefill_engine(tmp_path):
    # The requests share most of their prompt. Spread evenly, they would have
    # every prefill engine compute the shared prefix again.
    async def check():
        async with run_gateway(
            tmp_path, make_engines(prefill_count=4)
        ) as harness:
            for number in range(6):
                await harness.send(
                    '/summary/1',
                    f'r-{number}',
                    headers={f'{PREFIX}Prompt-Prefix': f'aa:800,b{number}:9'},
                )
            prefilling = harness.site.engines[:4]
            assert sorted(len(one.prefills) for one in prefilling) == [
                0,
                0,
                0,
                6,
            ]

    run(check())


def test_disconnected_caller_ends_the_run(tmp_path):
    # A caller closes its connection in the middle of a stream. The engine must
    # stop decoding, so that other requests can use its capacity.
    async def check():
        engines = make_engines()
        engines[2].faults.stall_after = 2
        async with run_gateway(tmp_path, engines) as harness:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(harness.send('/blurb/1'), 0.3)
            await harness.wait_until(
                lambda: engines[2].cancelled == ['r-1'], 0.5
            )

    run(check())


def test_handle_of_a_disconnected_caller_is_freed(tmp_path):
    # The caller disconnects after the prefill and before a decode engine has
    # fetched the KV cache, which would otherwise occupy memory for seconds.
    async def check():
        engines = make_engines()
        engines[2].faults.unresponsive = True
        async with run_gateway(tmp_path, engines) as harness:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(harness.send('/blurb/1'), 0.3)
            prefill_engines = engines[:2]
            await harness.wait_until(
                lambda: any(one.freed for one in prefill_engines), 0.5
            )

    run(check())


def test_requests_before_the_first_manifest_get_503(tmp_path):
    # An instance starts before the first manifest. A 404 would mean that the
    # path does not exist; callers must retry instead.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.gateway.core.catalog.catalog = None
            status, headers, _ = await harness.send('/archive/1')
            assert status == 503
            assert 0 < float(headers['Retry-After']) <= 1

    run(check())


def test_host_is_compared_without_case_and_port(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            given = {'Host': f'{HOST.upper()}:80'}
            status, _, _ = await harness.send(
                '/archive/1',
                method='GET',
                headers=given,
            )
            assert status == 200

    run(check())


def test_every_decision_on_a_request_is_logged_with_its_id(tmp_path):
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            await harness.send('/summary/1', 'r-77')
            for event in ('accepted', 'placed', 'generated', 'answered'):
                lines = harness.log_lines(event)
                assert [line['request'] for line in lines] == ['r-77']

    run(check())


def test_failed_call_to_a_plain_service_is_logged_with_its_cause(tmp_path):
    # An endpoint doesn't respond. Without a log line on why the call failed,
    # its id would lead to nothing but a 504.
    async def check():
        plain = make_plain(1)
        plain[0].unresponsive = True
        async with run_gateway(tmp_path, plain=plain) as harness:
            given = {f'{PREFIX}Deadline-Ms': '300'}
            status, _, _ = await harness.send('/proof/1', headers=given)
            line = harness.log_lines('given_up')[0]
            assert (status, line['request']) == (504, 'r-1')
            assert line['kind'] == 'deadline_exceeded'

    run(check())


def test_time_to_the_first_event_is_measured_from_the_send(tmp_path):
    # The log line must show whether an engine delayed the start of a stream.
    # Measured from the head of the answer, every engine would look instant.
    async def check():
        engines = make_engines()
        engines[2].faults.slow_head_s = 0.2
        async with run_gateway(tmp_path, engines) as harness:
            await harness.send('/summary/1')
            line = harness.log_lines('generated')[0]
            assert line['first_s'] >= 0.2
            assert line['took_s'] >= line['first_s']

    run(check())
