"""Engines and plain endpoints that fail, and what callers get."""

import asyncio
import time

import aiohttp
import pytest
from verbenahall_standins.platform import RawEndpoint

from .conftest import PREFIX, make_engines, make_plain, open_desk


def run(coroutine):
    return asyncio.run(coroutine)


def answer(identity, body=b'good', *, stamp=True, length=True):
    """Build the bytes of an endpoint's answer."""
    lines = [b'HTTP/1.1 200 OK', b'X-Verbenahall-Request-Id: ' + identity]
    if stamp:
        lines.append(b'X-Verbenahall-Server-Stamp: s')
    if length:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


async def list_raw(desk, raw):
    """List an endpoint of a test's own making as the only plain one."""
    await raw.start()
    raw.name = 'raw'
    raw.role = ''
    desk.site.list_endpoint(raw)
    roster = desk.gateway.core.roster
    await desk.until(lambda: 'raw' in roster.seats)


def test_broken_stream_is_resumed_at_its_event(tmp_path, numbers):
    # An engine crashes in the middle of an event. The caller must get the
    # rest from another one, without a gap, a repetition or half an event.
    async def check():
        engines = make_engines(generators=2)
        for engine in engines[2:]:
            engine.faults.break_after = 3
            engine.faults.half_event = True
            engine.events = 6
        async with open_desk(tmp_path, engines) as desk:
            _, _, body = await desk.ask('/summary/1')
            assert numbers(body) == [1, 2, 3, 4, 5, 6]
            assert b'99' not in body
            assert all(len(one.runs) == 1 for one in engines[2:])

    run(check())


def test_broken_stream_that_cannot_resume_does_not_look_whole(tmp_path):
    # The route allows no second run. An answer that ends properly would be
    # taken for the whole blurb and be printed.
    async def check():
        engines = make_engines(generators=2)
        for engine in engines[2:]:
            engine.faults.break_after = 2
        async with open_desk(tmp_path, engines) as desk:
            with pytest.raises(aiohttp.ClientError):
                await desk.ask('/blurb/1')
            assert sum(len(one.runs) for one in engines) == 1

    run(check())


def test_silent_stream_is_taken_up_by_another_engine(tmp_path, numbers):
    # An engine goes dark in the middle of a stream. Its caller would leave
    # after two seconds without an event.
    async def check():
        engines = make_engines(generators=2)
        engines[2].faults.stall_after = 2
        engines[3].faults.stall_after = None
        async with open_desk(tmp_path, engines) as desk:
            started = time.monotonic()
            for number in range(2):
                _, _, body = await desk.ask('/summary/1', f'r-{number}')
                assert numbers(body) == [1, 2, 3, 4, 5]
            assert time.monotonic() - started < 3.5

    run(check())


def test_unrepeatable_stream_runs_once_though_its_answer_is_lost(tmp_path):
    # The engine takes the request and is never heard of again. It may have
    # run, so the caller is told so, and at its deadline rather than later.
    async def check():
        engines = make_engines(generators=2)
        for engine in engines[2:]:
            engine.faults.mute = True
        async with open_desk(tmp_path, engines) as desk:
            given = {f'{PREFIX}Deadline-Ms': '400'}
            status, headers, _ = await desk.ask('/blurb/1', headers=given)
            assert status == 504
            assert 'Retry-After' not in headers

    run(check())


def test_refused_stream_is_sent_to_another_engine(tmp_path, numbers):
    async def check():
        engines = make_engines(generators=3)
        engines[2].faults.full = True
        engines[3].faults.full = True
        async with open_desk(tmp_path, engines) as desk:
            status, _, body = await desk.ask('/blurb/1')
            assert status == 200
            assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())


def test_refusal_everywhere_is_told_at_once_and_truly(tmp_path):
    # Every engine is full. The caller is told at once that nothing has run
    # and when to come back; held to its deadline it could do nothing.
    async def check():
        engines = make_engines()
        engines[2].faults.full = True
        async with open_desk(tmp_path, engines) as desk:
            started = time.monotonic()
            status, headers, _ = await desk.ask('/blurb/1')
            assert status in {429, 503}
            assert float(headers['Retry-After']) > 0
            assert time.monotonic() - started < 0.5
            assert not engines[2].runs

    run(check())


def test_handles_that_nobody_took_are_freed(tmp_path):
    # The engine that should go on is full. The prompt's KV cache would keep
    # the reading engine's memory until it lapses.
    async def check():
        engines = make_engines()
        engines[2].faults.full = True
        async with open_desk(tmp_path, engines) as desk:
            await desk.ask('/blurb/1')
            made = sum(len(one.handles) for one in engines)
            await desk.until(
                lambda: sum(len(one.freed) for one in engines) == made,
            )

    run(check())


def test_reader_that_falls_silent_is_replaced(tmp_path, numbers):
    # The engine that reads goes dark. Reading runs nothing, so the prompt is
    # read elsewhere, also where the request may run only once.
    async def check():
        engines = make_engines(readers=2)
        engines[0].faults.mute = True
        async with open_desk(tmp_path, engines) as desk:
            for number in range(3):
                given = {f'{PREFIX}Prompt-Prefix': f'a{number}:800,b:200'}
                status, _, body = await desk.ask(
                    '/blurb/1',
                    f'r-{number}',
                    headers=given,
                )
                assert status == 200
                assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())


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


def test_second_answer_is_not_given_to_the_next_caller(tmp_path):
    # An endpoint answers twice. The second answer lies on the kept connection
    # where the next caller's is expected, who would get somebody else's page.
    async def check():
        raw = RawEndpoint(
            (answer(b'r-1', b'one'), answer(b'r-1', b'one')),
            (answer(b'r-2', b'two'),),
        )
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            assert (await desk.ask('/proof/1', 'r-1'))[2] == b'one'
            await asyncio.sleep(0.1)
            status, _, body = await desk.ask('/proof/1', 'r-2')
            assert (status, body) == (200, b'two')
            await raw.stop()

    run(check())


def test_late_second_answer_is_skipped(tmp_path):
    # The second answer arrives only after the next request was sent on the
    # connection, just before the answer that belongs to it.
    async def check():
        raw = RawEndpoint(
            (answer(b'r-1', b'one'),),
            (answer(b'r-1', b'one'), answer(b'r-2', b'two')),
        )
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            await desk.ask('/proof/1', 'r-1')
            status, _, body = await desk.ask('/proof/1', 'r-2')
            assert (status, body) == (200, b'two')
            assert raw.connections == 1
            await raw.stop()

    run(check())


def test_answer_cut_short_is_no_answer(tmp_path):
    # The endpoint dies in the middle of its answer. Half a page under a good
    # status would be printed as it is.
    async def check():
        whole = answer(b'r-1', b'a whole page')
        raw = RawEndpoint((whole[:-5], b''))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            status, _, body = await desk.ask('/proof/1', 'r-1')
            assert status in {502, 504}
            assert b'a whole' not in body
            await raw.stop()

    run(check())


def test_answer_without_length_ends_with_its_connection(tmp_path):
    async def check():
        raw = RawEndpoint((answer(b'r-1', b'a page', length=False), b''))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            status, _, body = await desk.ask('/proof/1', 'r-1')
            assert (status, body) == (200, b'a page')
            await raw.stop()

    run(check())


def test_answer_without_length_that_is_reset_is_not_whole(tmp_path):
    # An answer without a length ends with its connection, and the connection
    # is reset half way. Taken for its end, half a page is passed on as whole.
    async def check():
        raw = RawEndpoint((answer(b'r-1', b'half a', length=False), None))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            status, _, _ = await desk.ask('/proof/1', 'r-1')
            assert status in {502, 504}
            await raw.stop()

    run(check())


def test_bytes_that_are_no_answer_fail_the_call(tmp_path):
    async def check():
        raw = RawEndpoint((b'\x00\x01 not an answer\r\n\r\n',))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            status, _, _ = await desk.ask('/proof/1', 'r-1')
            assert status in {502, 504}
            await raw.stop()

    run(check())


def test_kept_connection_closed_under_a_call_does_not_send_it_again(tmp_path):
    # An endpoint closes a kept connection as a GET that may run only once
    # arrives on it. The HTTP library repeats such a call by itself, and the
    # endpoint has perhaps run it already.
    async def check():
        raw = RawEndpoint((answer(b'r-1', b'one'),), (None,))
        async with open_desk(tmp_path) as desk:
            await list_raw(desk, raw)
            await desk.ask('/proof/1', 'r-1', method='GET')
            status, _, _ = await desk.ask('/proof/1', 'r-2', method='GET')
            assert status in {502, 504}
            assert len(raw.requests) == 2
            await raw.stop()

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


def test_caller_that_reads_no_more_is_let_go(tmp_path):
    # A caller stops reading and keeps its connection. Its stream would hold
    # an engine's place for as long as it likes.
    async def check():
        engines = make_engines()
        engines[2].events = 200_000
        async with open_desk(tmp_path, engines) as desk:
            address = desk.gateway.core.settings.callers
            host, _, port = address.partition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.pause_reading()
            writer.write(
                b'POST /blurb/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'X-Verbenahall-Request-Id: r-1\r\n'
                b'X-Verbenahall-Deadline-Ms: 700\r\n'
                b'Content-Length: 0\r\n\r\n',
            )
            await desk.until(lambda: engines[2].runs)
            await desk.until(lambda: engines[2].cut, 2)
            writer.close()

    run(check())


def test_read_prompt_goes_to_the_next_generator_as_it_is(tmp_path, numbers):
    # The engine that should generate has crashed since it was listed. Read
    # again for the next one, the prompt would cost its caller the objective.
    async def check():
        engines = make_engines(readers=2, generators=2)
        async with open_desk(tmp_path, engines) as desk:
            await engines[2].stop()
            for number in range(4):
                status, _, body = await desk.ask('/blurb/1', f'r-{number}')
                assert status == 200
                assert numbers(body) == [1, 2, 3, 4, 5]
            assert sum(len(one.reads) for one in engines) == 4

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


def test_generator_that_leaves_during_the_read_gets_no_work(tmp_path):
    # A prompt takes two seconds to be read. Meanwhile the engine that was to
    # generate says that it leaves; sent there all the same, the stream is cut
    # when the engine exits.
    async def check():
        engines = make_engines(readers=1, generators=2)
        engines[0].faults.slow_read_s = 0.3
        async with open_desk(tmp_path, engines) as desk:
            asking = asyncio.create_task(desk.ask('/blurb/1'))
            await desk.until(lambda: desk.decisions('placed'))
            chosen = desk.decisions('placed')[0]['generator']
            leaving = next(one for one in engines if one.name == chosen)
            desk.site.list_endpoint(leaving, state='draining')
            assert (await asking)[0] == 200
            assert not leaving.runs

    run(check())


def test_stream_without_signature_is_not_passed_on(tmp_path):
    # Something else answers at an engine's address. Its events would reach a
    # caller as if the engine had made them.
    async def check():
        engines = make_engines()
        engines[2].faults.unsigned = True
        async with open_desk(tmp_path, engines) as desk:
            status, _, body = await desk.ask('/blurb/1')
            assert status in {502, 504}
            assert b'token' not in body

    run(check())
