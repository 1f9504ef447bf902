"""Requests on open connections whose timers or process end meanwhile."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import time

import pytest
from verbenahall_standins.platform import make_route

from .conftest import HOST, make_engines, run
from .test_process import GRACE_S, start_instance

HEAD = (
    f'GET /archive/1 HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Verbenahall-Request-Id: r-1\r\n\r\n'
).encode()
STREAM_HEAD = (
    f'POST /long/1 HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Verbenahall-Request-Id: r-1\r\nX-Verbenahall-Model: m\r\n'
    'X-Verbenahall-Token-Count: 1000,50\r\n'
    'X-Verbenahall-Prompt-Prefix: aa:800,bb:200\r\n'
    'Content-Length: 0\r\n\r\n'
).encode()
#: A route whose requests may last as long as a process takes to stop.
LONG_ROUTE = make_route(
    '/long/', 'stream', 'drafter', resumable=True, timeoutMs=12_000
)
LAST_CHUNK = b'\r\n0\r\n\r\n'
#: Time between a signal and its effect on the process, in seconds.
SIGNAL_S = 0.1
#: Receive buffer of a slow caller, and its largest read, in bytes.
RECEIVE_BYTES = 8192
PIECE_BYTES = 16_384
FAST_BYTES_S = 10_000_000
SLOW_BYTES_S = 120_000
#: How long a slow caller reads nothing: longer than a process without requests
#: takes to stop, and shorter than the grace period, in seconds.
UNREAD_S = 5.5
#: Segments of a network other than loopback: the kernel buffers less of them.
SEGMENT_BYTES = 1400
#: Time from SIGTERM to the end of a process without requests, in seconds.
STOP_S = 4.15
#: Longest time from a request to the end of its connection without an answer.
LOST_SLACK_S = 0.2
CALLERS = 100
#: Signals that are sent before it is checked whether the process has ended.
SERIES = 100
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4_194_304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15_000,
}


@contextlib.asynccontextmanager
async def start_with_limits(folder, **changes):
    """Run a gateway process whose manifest has changed limits."""
    async with start_instance(folder) as (instance, site):
        await publish_limits(instance, site, **changes)
        yield instance, site


async def publish_limits(instance, site, **changes):
    """Publish changed limits; wait until they are in force."""
    site.publish(limits={**LIMITS, **changes})
    await wait_for_version(instance, site)


async def wait_for_version(instance, site):
    """Wait until the process has logged the newest manifest."""
    async with asyncio.timeout(10):
        while not knows_version(instance, site.version):
            await asyncio.sleep(0.02)


def knows_version(instance, version):
    """Return whether a process has logged a version of the manifest."""
    return any(
        '"event":"manifest"' in line and f'"version":{version},' in line
        for line in instance.output.read_text().splitlines()
    )


@contextlib.asynccontextmanager
async def connect(instance):
    """Open a caller's raw connection."""
    host, _, port = instance.settings.callers.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def connect_slowly(instance):
    """Return a caller's socket that receives little ahead of its reads."""
    host, _, port = instance.settings.callers.rpartition(':')
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    opened.setblocking(False)
    await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
    return opened


async def read_at_rate(opened, bytes_s):
    """Read to the end of the connection; return what was received."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    started = time.monotonic()
    with contextlib.suppress(ConnectionError):
        while piece := await loop.sock_recv(opened, PIECE_BYTES):
            received += piece
            due_s = len(received) / bytes_s
            await asyncio.sleep(started + due_s - time.monotonic())
    return bytes(received)


def ignores_hangup(pid):
    """Return whether a process ignores SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    mask = int(status.split('SigIgn:')[1].split()[0], 16)
    return bool(mask & 1)


def send_hangups(pid):
    """Send SIGHUP without a pause until the process has ended."""
    ends = time.monotonic() + GRACE_S
    with contextlib.suppress(ProcessLookupError, FileNotFoundError):
        while time.monotonic() < ends and not is_zombie(pid):
            for _ in range(SERIES):
                os.kill(pid, signal.SIGHUP)


def is_zombie(pid):
    """Return whether a process has ended and was not waited for."""
    status = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return status.rpartition(') ')[2].startswith('Z')


async def read_to_last_chunk(opened, bytes_s):
    """Read an answer in chunks slowly; return what was received."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    while not received.endswith(LAST_CHUNK):
        piece = await loop.sock_recv(opened, PIECE_BYTES)
        assert piece, 'the connection ended early'
        received += piece
        await asyncio.sleep(len(piece) / bytes_s)
    return bytes(received)


async def send_later(pair, delay_s):
    """Send a request; return its status and the seconds that it took."""
    reader, writer = pair
    await asyncio.sleep(delay_s)
    if reader.at_eof():
        return 0, 0
    started = time.monotonic()
    writer.write(HEAD)
    status = await read_status(reader)
    return status, time.monotonic() - started


async def read_status(reader, within_s=5.0):
    """Read one response; return its status, or 0 if the connection ends."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        async with asyncio.timeout(within_s):
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().split(b'content-length: ')[1]
            await reader.readexactly(int(length.split(b'\r\n')[0]))
            return int(head.split()[1])
    return 0


async def wait_for_end(reader, within_s):
    """Wait until the connection ends; a reset counts as well."""
    async with asyncio.timeout(within_s):
        with contextlib.suppress(ConnectionError):
            assert not await reader.read(1)


@contextlib.asynccontextmanager
async def pause_process(instance, pause_s):
    """Stop the process for the body and then for the rest of the time."""
    started = time.monotonic()
    instance.started.send_signal(signal.SIGSTOP)
    await asyncio.sleep(SIGNAL_S)
    yield
    await asyncio.sleep(started + pause_s - time.monotonic())
    instance.started.send_signal(signal.SIGCONT)


def test_request_that_waits_at_the_end_of_the_idle_time(tmp_path):
    # The process stood still as the idle time ended. The timer ran before the
    # socket was read, and the connection was closed with the request in it.
    async def check():
        async with (
            start_with_limits(tmp_path, idleTimeoutMs=1500) as (instance, _),
            connect(instance) as (reader, writer),
        ):
            writer.write(HEAD)
            assert await read_status(reader) == 200
            await asyncio.sleep(1)
            async with pause_process(instance, 1.2):
                writer.write(HEAD)
            assert await read_status(reader) == 200

    run(check())


def test_rest_of_a_head_that_waits_at_the_end_of_its_time(tmp_path):
    # The process stood still as the time of the head ended, and the rest of
    # the head was in the socket.
    async def check():
        async with (
            start_with_limits(tmp_path, headerTimeoutMs=1500) as (instance, _),
            connect(instance) as (reader, writer),
        ):
            await asyncio.sleep(0.1)
            writer.write(HEAD[:20])
            await asyncio.sleep(0.3)
            async with pause_process(instance, 1.8):
                writer.write(HEAD[20:])
            assert await read_status(reader) == 200

    run(check())


@pytest.mark.parametrize('is_new', [True, False])
def test_head_that_goes_on_at_the_end_of_the_idle_time(tmp_path, is_new):
    # A head that began within the idle time was closed away at its end, though
    # it was within the time of a head.
    async def check():
        async with (
            start_with_limits(tmp_path, idleTimeoutMs=2500) as (instance, _),
            connect(instance) as (reader, writer),
        ):
            if not is_new:
                writer.write(HEAD)
                assert await read_status(reader) == 200
            await asyncio.sleep(1.8)
            writer.write(HEAD[:20])
            await asyncio.sleep(1.2)
            writer.write(HEAD[20:])
            assert await read_status(reader) == 200

    run(check())


def test_incomplete_first_head_closes_the_connection(tmp_path):
    # The first bytes of a connection arrived before its handler had begun: the
    # timeout of the head did not start.
    async def check():
        async with (
            start_with_limits(tmp_path, headerTimeoutMs=300) as (instance, _),
            connect(instance) as (reader, writer),
        ):
            writer.write(HEAD[:20])
            await wait_for_end(reader, 2)

    run(check())


@pytest.mark.parametrize('events', [3000, 5000, 6000, 8000])
def test_slow_reader_gets_its_stream_during_a_stop(tmp_path, events):
    # The request counted as finished once its answer was in a buffer of the
    # process, and the process ended with the rest of the answer in it.
    async def check():
        engines = make_engines()
        engines[-1].events = events
        async with start_instance(tmp_path, engines) as (instance, site):
            site.publish(added=[LONG_ROUTE])
            await wait_for_version(instance, site)
            opened = await connect_slowly(instance)
            with contextlib.closing(opened):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(opened, STREAM_HEAD)
                await asyncio.sleep(0.5)
                instance.started.send_signal(signal.SIGTERM)
                await asyncio.sleep(UNREAD_S)
                received = await read_at_rate(opened, FAST_BYTES_S)
            assert received.endswith(LAST_CHUNK)
            assert await instance.started.wait() == 0

    run(check())


def test_caller_that_never_reads_does_not_delay_the_end(tmp_path):
    # An answer that a caller does not read must not keep the process beyond the
    # grace period, after which the platform kills it.
    async def check():
        engines = make_engines()
        engines[-1].events = 6000
        async with start_instance(tmp_path, engines) as (instance, site):
            site.publish(added=[LONG_ROUTE])
            await wait_for_version(instance, site)
            opened = await connect_slowly(instance)
            with contextlib.closing(opened):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(opened, STREAM_HEAD)
                await asyncio.sleep(0.5)
                instance.started.send_signal(signal.SIGTERM)
                async with asyncio.timeout(GRACE_S):
                    assert await instance.started.wait() == 0

    run(check())


@pytest.mark.parametrize('wait_s', [0.2, 1.4])
def test_request_on_a_connection_beyond_a_lowered_idle_time(tmp_path, wait_s):
    # The operator lowers the idle timeout, and a caller still goes by the
    # former one. Its connection is closed while no request is on it, or its
    # request is answered.
    async def check():
        async with (
            start_with_limits(tmp_path, idleTimeoutMs=5000) as (instance, site),
            connect(instance) as (reader, writer),
        ):
            writer.write(HEAD)
            assert await read_status(reader) == 200
            await asyncio.sleep(wait_s)
            await publish_limits(instance, site, idleTimeoutMs=1500)
            await asyncio.sleep(2.4 - wait_s)
            if not reader.at_eof():
                writer.write(HEAD)
                assert await read_status(reader) == 200

    run(check())


def test_slow_reader_gets_its_whole_stream(tmp_path):
    # A caller reads slowly, but within the time of its request: waiting for it
    # must not end its stream.
    async def check():
        engines = make_engines()
        engines[-1].events = 20_000
        async with start_instance(tmp_path, engines) as (instance, site):
            site.publish(added=[LONG_ROUTE])
            await wait_for_version(instance, site)
            opened = await connect_slowly(instance)
            with contextlib.closing(opened):
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(opened, STREAM_HEAD)
                received = await read_to_last_chunk(opened, SLOW_BYTES_S)
            assert received.count(b'id: ') == engines[-1].events

    run(check())


def test_requests_on_idle_connections_at_the_end_of_a_stop(tmp_path):
    # Idle connections are closed at the end of a stop. Requests that arrive at
    # that moment are answered, or their connection ends at once.
    async def check():
        async with (
            start_instance(tmp_path) as (instance, _),
            contextlib.AsyncExitStack() as stack,
        ):
            opened = [
                await stack.enter_async_context(connect(instance))
                for _ in range(CALLERS)
            ]
            for reader, writer in opened:
                writer.write(HEAD)
                assert await read_status(reader) == 200
            instance.started.send_signal(signal.SIGTERM)
            delays = [
                STOP_S + number * 0.4 / CALLERS - 0.2
                for number in range(CALLERS)
            ]
            ends = await asyncio.gather(
                *(
                    send_later(pair, delay_s)
                    for pair, delay_s in zip(opened, delays, strict=True)
                ),
            )
            assert all(
                status in {200, 503} or took_s < LOST_SLACK_S
                for status, took_s in ends
            )

    run(check())


def test_request_behind_another_one_during_a_stop(tmp_path):
    # A caller sent two requests at once. The process had read both, closed the
    # connection after the first answer, and dropped the second unanswered.
    async def check():
        async with (
            start_instance(tmp_path) as (instance, site),
            connect(instance) as (reader, writer),
        ):
            site.plain[0].delay_s = 1
            instance.started.send_signal(signal.SIGTERM)
            await asyncio.sleep(SIGNAL_S)
            writer.write(HEAD + HEAD)
            assert await read_status(reader) == 200
            assert await read_status(reader) == 200
            await wait_for_end(reader, 1)

    run(check())


def test_hangup_signals_in_a_dense_series_during_a_stop(tmp_path):
    # The default action of SIGHUP was restored for a moment as the process
    # ended, and a signal at that moment killed it.
    async def check():
        async with start_instance(tmp_path) as (instance, _):
            instance.started.send_signal(signal.SIGTERM)
            await asyncio.sleep(STOP_S - 0.5)
            await asyncio.to_thread(send_hangups, instance.started.pid)
            assert await instance.started.wait() == 0

    run(check())


def test_hangup_signals_during_the_start(tmp_path):
    # A settings file that changed while the process still imported its modules
    # ended it.
    async def check():
        started_at = time.monotonic()
        ignored_at = []

        async def hang_up(started):
            while not ignores_hangup(started.pid):
                await asyncio.sleep(0.005)
            ignored_at.append(time.monotonic())
            for _ in range(20):
                started.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.05)

        async with start_instance(tmp_path, starting=hang_up) as (instance, _):
            ready_s = time.monotonic() - started_at
            assert ignored_at[0] - started_at < ready_s / 3
            assert await instance.send() == (200, b'page from page-0')

    run(check())


def test_rest_of_a_body_that_waits_at_the_end_of_its_time(tmp_path):
    # The process stood still as the time for the next bytes of a body ended,
    # and the rest of the body was in the socket: the request was refused.
    async def check():
        async with (
            start_with_limits(tmp_path, idleTimeoutMs=1500) as (instance, _),
            connect(instance) as (reader, writer),
        ):
            head = HEAD.replace(b'\r\n\r\n', b'\r\nContent-Length: 6\r\n\r\n')
            writer.write(head + b'abc')
            await asyncio.sleep(1)
            async with pause_process(instance, 1.2):
                writer.write(b'def')
            assert await read_status(reader) == 200

    run(check())
