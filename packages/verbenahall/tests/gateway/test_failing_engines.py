"""Failures of engines, and the answers that callers of streams get."""

import asyncio
import time

import aiohttp
import pytest

from .conftest import PREFIX, make_engines, run, run_gateway


def test_broken_stream_is_resumed_at_its_event(tmp_path, numbers):
    # An engine crashes in the middle of an event. The caller must get the rest
    # from another engine, without missing, repeated or incomplete events.
    async def check():
        engines = make_engines(decode_count=2)
        for engine in engines[2:]:
            engine.faults.break_after = 3
            engine.faults.half_event = True
            engine.events = 6
        async with run_gateway(tmp_path, engines) as harness:
            _, _, body = await harness.send('/summary/1')
            assert numbers(body) == [1, 2, 3, 4, 5, 6]
            assert b'99' not in body
            assert all(len(one.runs) == 1 for one in engines[2:])

    run(check())


def test_error_answer_to_a_resumed_stream_aborts_it(tmp_path):
    # Part of the stream was delivered. Another answer behind it on the same
    # connection would be no HTTP, and the caller would wait for the rest.
    async def check():
        engines = make_engines(decode_count=2)
        for engine in engines[2:]:
            engine.faults.break_after = 2
            engine.faults.fails_resumed = True
        async with run_gateway(tmp_path, engines) as harness:
            async with asyncio.timeout(1):
                with pytest.raises(aiohttp.ClientError):
                    await harness.send('/summary/1')
            assert sum(len(one.runs) for one in engines) == 2

    run(check())


def test_broken_stream_that_cannot_resume_is_aborted(tmp_path):
    # The route allows no second run. If the answer ended normally, the caller
    # would take it for complete.
    async def check():
        engines = make_engines(decode_count=2)
        for engine in engines[2:]:
            engine.faults.break_after = 2
        async with run_gateway(tmp_path, engines) as harness:
            with pytest.raises(aiohttp.ClientError):
                await harness.send('/blurb/1')
            assert sum(len(one.runs) for one in engines) == 1

    run(check())


def test_stalled_stream_is_resumed_on_another_engine(tmp_path, numbers):
    # An engine stops sending in the middle of a stream. Its caller would
    # disconnect after two seconds without an event.
    async def check():
        engines = make_engines(decode_count=2)
        engines[2].faults.stall_after = 2
        engines[3].faults.stall_after = None
        async with run_gateway(tmp_path, engines) as harness:
            started = time.monotonic()
            for number in range(2):
                _, _, body = await harness.send('/summary/1', f'r-{number}')
                assert numbers(body) == [1, 2, 3, 4, 5]
            assert time.monotonic() - started < 3.5

    run(check())


def test_unrepeatable_stream_runs_once_though_its_answer_is_lost(tmp_path):
    # The engine accepts the request and never answers. The request may have
    # run, so the answer must not say otherwise, and must come at the deadline.
    async def check():
        engines = make_engines(decode_count=2)
        for engine in engines[2:]:
            engine.faults.unresponsive = True
        async with run_gateway(tmp_path, engines) as harness:
            given = {f'{PREFIX}Deadline-Ms': '400'}
            status, headers, _ = await harness.send('/blurb/1', headers=given)
            assert status == 504
            assert 'Retry-After' not in headers

    run(check())


def test_refused_stream_is_sent_to_another_engine(tmp_path, numbers):
    async def check():
        engines = make_engines(decode_count=3)
        engines[2].faults.full = True
        engines[3].faults.full = True
        async with run_gateway(tmp_path, engines) as harness:
            status, _, body = await harness.send('/blurb/1')
            assert status == 200
            assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())


def test_refusal_by_all_engines_is_reported_at_once(tmp_path):
    # Every engine is full. The caller must learn at once that nothing has run
    # and when to retry; at its deadline it would be too late for a retry.
    async def check():
        engines = make_engines()
        engines[2].faults.full = True
        async with run_gateway(tmp_path, engines) as harness:
            started = time.monotonic()
            status, headers, _ = await harness.send('/blurb/1')
            assert status in {429, 503}
            assert float(headers['Retry-After']) > 0
            assert time.monotonic() - started < 0.5
            assert not engines[2].runs

    run(check())


def test_engine_that_fell_silent_is_not_said_to_have_run_nothing(tmp_path):
    # The only decode engine accepts the request and stops responding. That no
    # other engine is left doesn't mean that the request has not run. After an
    # answer that states this, the caller would repeat the request.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            harness.site.engines[2].faults.unresponsive = True
            request = asyncio.create_task(
                harness.send(
                    '/summary/1', headers={f'{PREFIX}Deadline-Ms': '2500'}
                ),
            )
            await asyncio.sleep(0.5)
            harness.site.unlist('generator-0')
            status, headers, _ = await request
            assert status in {502, 504}
            assert 'Retry-After' not in headers

    run(check())


def test_unused_handles_are_freed(tmp_path):
    # The decode engine is full. Unless it is freed, the KV cache of the prompt
    # occupies the memory of the prefill engine until it expires.
    async def check():
        engines = make_engines()
        engines[2].faults.full = True
        async with run_gateway(tmp_path, engines) as harness:
            await harness.send('/blurb/1')
            made = sum(len(one.handles) for one in engines)
            await harness.wait_until(
                lambda: sum(len(one.freed) for one in engines) == made,
            )

    run(check())


def test_unresponsive_prefill_engine_is_replaced(tmp_path, numbers):
    # The prefill engine stops responding. A prefill doesn't execute the
    # request, so it is repeated on another engine even if the request may run
    # only once.
    async def check():
        engines = make_engines(prefill_count=2)
        engines[0].faults.unresponsive = True
        async with run_gateway(tmp_path, engines) as harness:
            for number in range(3):
                given = {f'{PREFIX}Prompt-Prefix': f'a{number}:800,b:200'}
                status, _, body = await harness.send(
                    '/blurb/1',
                    f'r-{number}',
                    headers=given,
                )
                assert status == 200
                assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())


def test_caller_that_stops_reading_is_disconnected(tmp_path):
    # A caller stops reading and keeps its connection open. Without a bound its
    # stream would occupy the engine indefinitely.
    async def check():
        engines = make_engines()
        engines[2].events = 200_000
        async with run_gateway(tmp_path, engines) as harness:
            address = harness.gateway.core.settings.callers
            host, _, port = address.partition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.pause_reading()
            writer.write(
                b'POST /blurb/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'X-Verbenahall-Request-Id: r-1\r\n'
                b'X-Verbenahall-Deadline-Ms: 700\r\n'
                b'Content-Length: 0\r\n\r\n',
            )
            await harness.wait_until(lambda: engines[2].runs)
            await harness.wait_until(lambda: engines[2].cancelled, 2)
            writer.close()

    run(check())


def test_prefilled_prompt_is_reused_by_the_next_decode_engine(
    tmp_path, numbers
):
    # The chosen decode engine has crashed since it was listed. Repeating the
    # prefill for the next one would make the request miss its objective.
    async def check():
        engines = make_engines(prefill_count=2, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            await engines[2].stop()
            for number in range(4):
                status, _, body = await harness.send('/blurb/1', f'r-{number}')
                assert status == 200
                assert numbers(body) == [1, 2, 3, 4, 5]
            assert sum(len(one.prefills) for one in engines) == 4

    run(check())


def test_generator_that_leaves_during_the_read_gets_no_work(tmp_path):
    # The chosen decode engine starts to drain during a long prefill. A stream
    # that is sent to it all the same is cut off when the engine exits.
    async def check():
        engines = make_engines(prefill_count=1, decode_count=2)
        engines[0].faults.prefill_delay_s = 0.3
        async with run_gateway(tmp_path, engines) as harness:
            request = asyncio.create_task(harness.send('/blurb/1'))
            await harness.wait_until(lambda: harness.log_lines('placed'))
            chosen = harness.log_lines('placed')[0]['generator']
            leaving = next(one for one in engines if one.name == chosen)
            harness.site.list_endpoint(leaving, state='draining')
            assert (await request)[0] == 200
            assert not leaving.runs

    run(check())


def test_only_decode_engine_that_drains_during_prefill_gets_no_work(tmp_path):
    """A draining engine gets no work even if there is no other engine."""

    async def check():
        engines = make_engines(prefill_count=1, decode_count=1)
        engines[0].faults.prefill_delay_s = 0.3
        async with run_gateway(tmp_path, engines) as harness:
            request = asyncio.create_task(harness.send('/blurb/1'))
            await harness.wait_until(lambda: harness.log_lines('placed'))
            harness.site.list_endpoint(engines[1], state='draining')
            status, headers, _ = await request
            assert status == 503
            assert 'Retry-After' in headers
            assert not engines[1].runs

    run(check())


def test_stream_without_signature_is_not_passed_on(tmp_path):
    # Another program answers at an engine's address. Its events must not be
    # relayed as those of the engine.
    async def check():
        engines = make_engines()
        engines[2].faults.unsigned = True
        async with run_gateway(tmp_path, engines) as harness:
            status, _, body = await harness.send('/blurb/1')
            assert status in {502, 504}
            assert b'token' not in body

    run(check())
