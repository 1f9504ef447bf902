"""Engines that fail, and what callers of streams get."""

import asyncio
import time

import aiohttp
import pytest

from .conftest import PREFIX, make_engines, open_desk, run


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


def test_engine_that_fell_silent_is_not_said_to_have_run_nothing(tmp_path):
    # The only engine that generates takes the request and falls silent. That
    # no other one is left says nothing about it: told that nothing has run,
    # the caller would have its request run twice.
    async def check():
        async with open_desk(tmp_path, make_engines()) as desk:
            desk.site.engines[2].faults.mute = True
            asked = asyncio.create_task(
                desk.ask(
                    '/summary/1', headers={f'{PREFIX}Deadline-Ms': '2500'}
                ),
            )
            await asyncio.sleep(0.5)
            desk.site.unlist('generator-0')
            status, headers, _ = await asked
            assert status in {502, 504}
            assert 'Retry-After' not in headers

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


def test_only_generator_that_leaves_during_the_read_gets_no_work(tmp_path):
    """With no other engine to choose, the old choice must not be kept."""

    async def check():
        engines = make_engines(readers=1, generators=1)
        engines[0].faults.slow_read_s = 0.3
        async with open_desk(tmp_path, engines) as desk:
            asking = asyncio.create_task(desk.ask('/blurb/1'))
            await desk.until(lambda: desk.decisions('placed'))
            desk.site.list_endpoint(engines[1], state='draining')
            status, headers, _ = await asking
            assert status == 503
            assert 'Retry-After' in headers
            assert not engines[1].runs

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
