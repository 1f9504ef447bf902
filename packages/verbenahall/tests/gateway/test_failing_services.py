"""Failures of plain endpoints, and the answers that callers get."""

from .conftest import PREFIX, make_plain, run, run_gateway


def test_repeatable_call_is_retried_after_an_error_answer(tmp_path):
    async def check():
        plain = make_plain(2)
        plain[0].status = 500
        async with run_gateway(tmp_path, plain=plain) as harness:
            for number in range(6):
                status, _, _ = await harness.send(
                    '/archive/1',
                    f'r-{number}',
                    method='GET',
                )
                assert status == 200

    run(check())


def test_error_answer_of_an_unrepeatable_call_is_relayed(tmp_path):
    async def check():
        plain = make_plain(2)
        for endpoint in plain:
            endpoint.status = 500
        async with run_gateway(tmp_path, plain=plain) as harness:
            status, headers, _ = await harness.send('/proof/1')
            assert status == 500
            assert f'{PREFIX}Server-Stamp' in headers
            assert sum(len(one.runs) for one in plain) == 1

    run(check())


def test_unrepeatable_call_to_an_unresponsive_endpoint_runs_once(tmp_path):
    # The endpoint runs the call and its answer is lost. It must neither be
    # sent again nor be reported as not run, as the caller would then repeat
    # it: either way the customer is billed twice.
    async def check():
        plain = make_plain(2)
        for endpoint in plain:
            endpoint.unresponsive = True
        async with run_gateway(tmp_path, plain=plain) as harness:
            given = {f'{PREFIX}Deadline-Ms': '300'}
            status, headers, _ = await harness.send('/proof/1', headers=given)
            assert status == 504
            assert 'Retry-After' not in headers
            assert sum(len(one.runs) for one in plain) == 1

    run(check())


def test_slow_answer_of_the_only_endpoint_is_waited_for(tmp_path):
    # A service has one endpoint left, and its answer takes more than half of
    # the time. The call must not be abandoned after half of it, as there is no
    # other endpoint for a second attempt.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.site.plain[0].delay_s = 2
            status, _, body = await harness.send('/archive/1', method='GET')
            assert (status, body) == (200, b'page from page-0')

    run(check())


def test_repeatable_call_is_retried_if_an_endpoint_does_not_respond(tmp_path):
    async def check():
        plain = make_plain(2)
        plain[0].unresponsive = True
        async with run_gateway(tmp_path, plain=plain) as harness:
            for number in range(3):
                given = {f'{PREFIX}Deadline-Ms': '800'}
                status, _, _ = await harness.send(
                    '/archive/1',
                    f'r-{number}',
                    method='GET',
                    headers=given,
                )
                assert status == 200

    run(check())


def test_answer_without_signature_is_not_passed_on(tmp_path):
    # Another program answers at the endpoint's address. Its page must not be
    # returned as that of the service.
    async def check():
        plain = make_plain(1)
        plain[0].stamps_answers = False
        async with run_gateway(tmp_path, plain=plain) as harness:
            status, _, body = await harness.send('/proof/1')
            assert status in {502, 504}
            assert b'page from' not in body

    run(check())


def test_call_to_an_unreachable_endpoint_goes_to_the_next(tmp_path):
    # A machine has lost power and is still listed. Nothing was sent to it, so
    # even a call that may run only once goes to another endpoint.
    async def check():
        plain = make_plain(2)
        async with run_gateway(tmp_path, plain=plain) as harness:
            await plain[0].stop()
            for number in range(4):
                status, _, _ = await harness.send('/proof/1', f'r-{number}')
                assert status == 200

    run(check())


def test_recovered_endpoint_is_detected_by_a_probe(tmp_path):
    # A machine was unreachable and has recovered. If it were avoided longer,
    # the others would carry its load; if requests were used to test it, they
    # would have to wait for a connection that may fail.
    async def check():
        plain = make_plain(2)
        async with run_gateway(tmp_path, plain=plain) as harness:
            endpoint_health = harness.gateway.core.endpoint_health
            now = harness.gateway.core.now
            endpoint_health.record_unreachable('page-0', now())
            assert endpoint_health.is_avoided('page-0', now())
            await harness.wait_until(
                lambda: not endpoint_health.is_avoided('page-0', now()), 1
            )

    run(check())
