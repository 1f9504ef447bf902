"""Answers whose heads hold bytes that may not be passed on."""

import pytest
from aiohttp import ClientSession, web
from verbenahall_standins.platform import RawEndpoint
from verbenahall_standins.soak import Cut

from verbenahall.config import INSTANCE_SCHEMA, LimitsConfig
from verbenahall.front import Runner
from verbenahall.schema import Source, check_table

from .conftest import run, run_gateway
from .cut_fleet import run_fleet
from .test_forwarding import make_event
from .test_unframed_streams import register_engine

STATUS_LINE = b'HTTP/1.1 200 OK\r\nX-Verbenahall-Server-Stamp: s\r\n'
PAGE = b'Content-Length: 4\r\n\r\npage'
STREAM = b'Transfer-Encoding: chunked\r\n\r\n'
#: Control characters that the library reads in a header and refuses to write.
ODD = (b'X-Odd: a\x01b\r\n', b'X-Odd: a\x1bb\r\n', b'X-Odd: a\x0bb\r\n')
EXPECTED = 'a b'


async def register_page(harness, raw):
    """Register a raw endpoint as the only one of the plain service."""
    await raw.start()
    raw.name = 'raw'
    raw.role = ''
    harness.site.list_endpoint(raw)
    roster = harness.gateway.core.roster
    await harness.wait_until(lambda: 'raw' in roster.listings)


@pytest.mark.parametrize('odd', ODD)
def test_answer_with_a_control_character_is_delivered(tmp_path, odd):
    # The answer could not be written, and the caller's connection was closed
    # without any, though the log said that it was answered.
    async def check():
        raw = RawEndpoint((STATUS_LINE + odd + PAGE,))
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, raw)
            status, headers, body = await harness.send('/proof/1')
            assert (status, body) == (200, b'page')
            assert headers['X-Odd'] == EXPECTED
            await raw.stop()

    run(check())


@pytest.mark.parametrize('odd', ODD)
def test_stream_with_a_control_character_is_delivered(tmp_path, numbers, odd):
    # The stream could not begin, and the caller got 500 for a request that ran.
    async def check():
        stream = (STATUS_LINE + odd + STREAM, make_event(1), b'0\r\n\r\n')
        raw = RawEndpoint(stream)
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, raw)
            status, headers, body = await harness.send('/blurb/1')
            assert status == 200
            assert numbers(body) == [1]
            assert headers['X-Odd'] == EXPECTED
            await raw.stop()

    run(check())


def test_answer_of_a_peer_with_a_control_character_is_delivered(tmp_path):
    # A peer of an earlier version passes on what its endpoint has sent.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            async with fleet.run_peer((STATUS_LINE + ODD[0] + PAGE,)):
                status, headers, body = await cut.send('/proof/1')
            assert (status, body) == (200, b'page')
            assert headers['X-Odd'] == EXPECTED

    run(check())


@pytest.mark.parametrize('odd', (b'O\x01K', b'O\x1bK', b'caf\xe9'))
def test_answer_with_an_odd_reason_is_delivered(tmp_path, odd):
    # The reason phrase of an answer is free text, of which nothing depends.
    async def check():
        line = STATUS_LINE.replace(b'OK', odd)
        raw = RawEndpoint((line + PAGE,))
        async with run_gateway(tmp_path) as harness:
            await register_page(harness, raw)
            status, _, body = await harness.send('/proof/1')
            assert (status, body) == (200, b'page')
            await raw.stop()

    run(check())


LIMITS = LimitsConfig(
    **check_table(
        {}, INSTANCE_SCHEMA.members['limits'], Source('defaults')
    ).unwrap(),
)


async def return_odd(request):
    """Return a response whose head can't be written."""
    return web.Response(headers={'X-Odd': 'a\x01b'}, body=b'page')


async def stream_odd(request):
    """Begin a stream whose head can't be written."""
    response = web.StreamResponse(headers={'X-Odd': 'a\x01b'})
    response.enable_chunked_encoding()
    await response.prepare(request)
    raise AssertionError('the head was written')


@pytest.mark.parametrize('handler', (return_odd, stream_odd))
def test_response_that_cannot_be_written_is_replaced(handler):
    # The connection was closed without a response, or the response about the
    # failure was sent in chunks that its head did not announce.
    async def check():
        app = web.Application()
        app.router.add_get('/', handler)
        runner = Runner(app, LIMITS)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0]
        async with (
            ClientSession() as session,
            session.get(f'http://{host}:{port}/') as response,
        ):
            assert response.status == 500
            assert (await response.json())['error']['kind'] == 'internal'
        await runner.cleanup()

    run(check())
