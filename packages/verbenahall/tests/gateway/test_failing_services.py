"""Plain endpoints that fail, and what their callers get."""

from .conftest import PREFIX, make_plain, open_desk, run


def test_failed_answer_of_a_repeatable_call_is_repeated(tmp_path):
    async def check():
        plain = make_plain(2)
        plain[0].status = 500
        async with open_desk(tmp_path, plain=plain) as desk:
            for number in range(6):
                status, _, _ = await desk.ask(
                    '/archive/1',
                    f'r-{number}',
                    method='GET',
                )
                assert status == 200

    run(check())


def test_failed_answer_of_an_unrepeatable_call_is_passed_on(tmp_path):
    async def check():
        plain = make_plain(2)
        for endpoint in plain:
            endpoint.status = 500
        async with open_desk(tmp_path, plain=plain) as desk:
            status, headers, _ = await desk.ask('/proof/1')
            assert status == 500
            assert f'{PREFIX}Server-Stamp' in headers
            assert sum(len(one.runs) for one in plain) == 1

    run(check())


def test_unrepeatable_call_to_a_silent_endpoint_runs_once(tmp_path):
    # The endpoint runs the call and its answer is lost. Sent again, the club
    # would be billed twice; said not to have run, its secretary would.
    async def check():
        plain = make_plain(2)
        for endpoint in plain:
            endpoint.mute = True
        async with open_desk(tmp_path, plain=plain) as desk:
            given = {f'{PREFIX}Deadline-Ms': '300'}
            status, headers, _ = await desk.ask('/proof/1', headers=given)
            assert status == 504
            assert 'Retry-After' not in headers
            assert sum(len(one.runs) for one in plain) == 1

    run(check())


def test_slow_answer_of_the_only_endpoint_is_waited_for(tmp_path):
    # A service has one endpoint left, and its answer takes longer than half of
    # the time. Given up for a second try that no endpoint is there for, the
    # answer would come and find nobody.
    async def check():
        async with open_desk(tmp_path, plain=make_plain(1)) as desk:
            desk.site.plain[0].delay_s = 2
            status, _, body = await desk.ask('/archive/1', method='GET')
            assert (status, body) == (200, b'page from page-0')

    run(check())


def test_repeatable_call_leaves_a_silent_endpoint_in_time(tmp_path):
    async def check():
        plain = make_plain(2)
        plain[0].mute = True
        async with open_desk(tmp_path, plain=plain) as desk:
            for number in range(3):
                given = {f'{PREFIX}Deadline-Ms': '800'}
                status, _, _ = await desk.ask(
                    '/archive/1',
                    f'r-{number}',
                    method='GET',
                    headers=given,
                )
                assert status == 200

    run(check())


def test_answer_without_signature_is_not_passed_on(tmp_path):
    # Something else answers at the endpoint's address. Its page would reach
    # a caller as if the service had made it.
    async def check():
        plain = make_plain(1)
        plain[0].signs = False
        async with open_desk(tmp_path, plain=plain) as desk:
            status, _, body = await desk.ask('/proof/1')
            assert status in {502, 504}
            assert b'page from' not in body

    run(check())


def test_unreachable_endpoint_is_left_for_the_next(tmp_path):
    # A machine has lost power; its entry is still listed. Nothing was sent,
    # so also a call that may run only once goes to another endpoint.
    async def check():
        plain = make_plain(2)
        async with open_desk(tmp_path, plain=plain) as desk:
            await plain[0].stop()
            for number in range(4):
                status, _, _ = await desk.ask('/proof/1', f'r-{number}')
                assert status == 200

    run(check())


def test_endpoint_that_is_back_is_found_by_a_probe(tmp_path):
    # A machine was cut off and is back. Avoided for longer it would leave
    # the others with its share; tried by requests, they would wait for it.
    async def check():
        plain = make_plain(2)
        async with open_desk(tmp_path, plain=plain) as desk:
            standings = desk.gateway.core.standings
            now = desk.gateway.core.now
            standings.note_unreachable('page-0', now())
            assert standings.paused('page-0', now())
            await desk.until(lambda: not standings.paused('page-0', now()), 1)

    run(check())
