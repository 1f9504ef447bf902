"""Connections whose bytes are counted, by what one read makes them hold."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from verbenahall import buffers
from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind
from verbenahall.front import Runner, read_request_body
from verbenahall.memory import Bounds

HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n'
SMALL = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx'
LONG = b'GET / HTTP/1.1\r\nHost: x\r\nX-A: %s\r\n\r\n' % (b'a' * 8000)
CHUNKED = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n'
TINY = b'1\r\nx\r\n'
END = b'0\r\n\r\n'
LIMITS = LimitsConfig(
    body_bytes=1_000_000,
    header_bytes=16_384,
    json_depth=0,
    connections=8,
    body_timeout_s=30,
    queue_per_priority=0,
    queue_per_workspace=0,
    in_flight_per_engine=0,
    default_deadline_s=0,
)


def test_body_yields_whose_reader_was_just_woken():
    # The reader found neither bytes nor the error, and waited for the idle
    # timeout while the body's bytes were taken for freed.
    async def run():
        async with open_connection(HEAD + bytes(1000)) as (connection, results):
            await asyncio.sleep(0.05)
            connection.data_received(bytes(1000))
            connection.yield_memory()
            read = await results.get()
            while connection.share.count:
                await asyncio.sleep(0.01)
        return read

    assert asyncio.run(run()).failure().kind is ErrorKind.REQUEST_TIMEOUT


@pytest.mark.parametrize('is_woken', [False, True])
def test_body_that_yields_is_released_at_once(is_woken):
    # What many bodies had received in one pass of the event loop was kept until
    # their readers ran after it: three times the bound.
    async def run():
        async with open_connection(HEAD + bytes(1000)) as (connection, results):
            await asyncio.sleep(0.05)
            body = connection._body
            if is_woken:
                connection.data_received(bytes(50_000))
            connection.yield_memory()
            assert connection.account.state.held == 0
            assert sum(len(piece) for piece in body._buffer) <= 1
            assert connection.partial_body.closed
            return await results.get()

    read = asyncio.run(run())
    assert read.failure().kind is ErrorKind.REQUEST_TIMEOUT


def test_requests_sent_ahead_are_released_at_once_when_they_yield():
    # They were dropped, and stayed counted until the one before them had ended.
    async def run():
        async with open_connection(HEAD) as (connection, results):
            results.pause.clear()
            connection.data_received(bytes(100_000))
            await asyncio.sleep(0.05)
            connection.data_received(LONG)
            before = connection.share.count
            connection.yield_memory()
            # What the kernel holds is counted, as nothing more is read.
            after = connection.share.count - connection._queued_bytes
            results.pause.set()
            await results.get()
            return before, after

    before, after = asyncio.run(run())
    assert before - after >= len(LONG)
    assert after >= 100_000


def test_copies_of_a_long_head_are_counted():
    # Its fields are in memory as bytes, as texts, and as those passed on: 1,200
    # requests of 8 KB took 30 MB more than was counted.
    async def run():
        async with open_connection(HEAD) as (connection, results):
            connection.data_received(bytes(100_000))
            await results.get()
            results.pause.clear()
            connection.data_received(LONG)
            await asyncio.sleep(0.05)
            counted = connection.share.count
            results.pause.set()
            await results.get()
            # It came when the request before it had its answer, so that it is
            # not one sent ahead, whose bytes stay counted.
            while connection.share.count:
                await asyncio.sleep(0.01)
        return counted

    assert asyncio.run(run()) >= 3 * 8000


def test_requests_sent_ahead_after_a_late_body_are_answered():
    # The parser stopped after the first of them, and nothing had it go on.
    async def run():
        async with open_connection(HEAD) as (connection, results):
            connection.data_received(bytes(100_000))
            await results.get()
            connection.data_received(2 * SMALL)
            return [(await results.get()).unwrap() for _ in range(2)]

    assert asyncio.run(run()) == [b'x', b'x']


def test_body_that_waits_is_counted_until_its_request_has_ended():
    # What came of it in later reads was taken off with the request before it.
    async def run():
        async with open_connection(HEAD) as (connection, results):
            results.pause.clear()
            connection.data_received(bytes(100_000) + HEAD)
            connection.data_received(bytes(50_000))
            await asyncio.sleep(0.05)
            results.pause.set()
            await results.get()
            await asyncio.sleep(0.05)
            counted = connection.share.count
            connection.data_received(bytes(50_000))
            await results.get()
            while connection.share.count:
                await asyncio.sleep(0.01)
        return counted

    assert asyncio.run(run()) >= 50_000


@pytest.mark.parametrize(
    'ahead',
    [b'', b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', SMALL],
    ids=['first', 'after a request', 'after a body'],
)
def test_tiny_chunks_of_one_read_are_parsed_little_by_little(ahead):
    # Each chunk of a byte is an object of a hundred bytes until it is read.
    async def run():
        async with open_connection(HEAD) as (connection, results):
            connection.data_received(bytes(100_000))
            await results.get()
            while connection.share.count:
                await asyncio.sleep(0.01)
            connection.data_received(ahead + CHUNKED + TINY * 5000 + END)
            parsed = sum(body.total_bytes for _, body in connection._messages)
            for _ in range(bool(ahead)):
                await results.get()
            return parsed, (await results.get()).unwrap()

    parsed, body = asyncio.run(run())
    assert parsed < 500
    assert body == b'x' * 5000


def test_answer_that_was_received_is_not_counted():
    # It stayed counted, as one that is not read, until the next request.
    async def run():
        async with open_connection(SMALL, bytes(1_000_000)) as (
            connection,
            results,
        ):
            await results.get()
            await asyncio.sleep(0.05)
            while connection.account.state.held:
                await asyncio.sleep(0.01)
            assert connection.is_idle

    asyncio.run(run())


def test_large_receive_buffers_are_bounded():
    # Data of a crowd waits in them before the process can count it.
    bounds = Bounds.from_total(10_000_000)
    sizes = [buffers.find_receive_buffer(bounds, one) for one in range(1, 2000)]
    large = sizes.count(buffers.RECEIVE_BUFFER_BYTES)
    held = large * buffers.BUFFER_FACTOR * buffers.RECEIVE_BUFFER_BYTES
    assert large > 50
    assert held <= bounds.total / 2
    assert sizes.count(buffers.CROWD_BUFFER_BYTES) == len(sizes) - large


class Results(asyncio.Queue):
    """The bodies that were read; none is answered during a pause."""

    def __init__(self):
        super().__init__()
        self.pause = asyncio.Event()
        self.pause.set()


@contextlib.asynccontextmanager
async def open_connection(sent, answer=b''):
    """Send bytes to a listener; yield its connection, and the bodies read.

    Each request gets the same answer.
    """
    results = Results()

    async def receive(request):
        read = await read_request_body(request, 1_000_000, 30)
        await results.pause.wait()
        results.put_nowait(read)
        return web.Response(body=answer)

    app = web.Application()
    app.router.add_route('*', '/', receive)
    runner = Runner(app, LIMITS)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection(
        '127.0.0.1', port, limit=2 * len(answer) + 1
    )
    writer.write(sent)
    try:
        async with asyncio.timeout(5):
            while not runner._manager.connections:
                await asyncio.sleep(0.01)
            connection = runner._manager.connections[0]
            while not connection.share.count:
                await asyncio.sleep(0.01)
            yield connection, results
    finally:
        writer.close()
        await runner.cleanup()
