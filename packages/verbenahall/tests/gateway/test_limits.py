"""Limits of the manifest in force on callers' requests and connections."""

import asyncio
import contextlib

import pytest

from .conftest import HOST, make_plain, run, run_gateway

HEAD = f'GET /archive/1 HTTP/1.1\r\nHost: {HOST}\r\n'


@contextlib.asynccontextmanager
async def open_with_limits(folder, **changes):
    """Run a gateway whose manifest has changed limits."""
    async with run_gateway(folder, plain=make_plain(1)) as harness:
        await publish_limits(harness, **changes)
        # An instance that isn't ready closes connections after each response.
        while not await harness.is_ready():
            await asyncio.sleep(0.02)
        yield harness


async def publish_limits(harness, **changes):
    """Publish a manifest with changed limits and wait until it is in force."""
    limits = {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 4_194_304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15_000,
        **changes,
    }
    state = harness.gateway.core.catalog
    version = state.catalog.version
    harness.site.publish(limits=limits)
    await harness.wait_until(lambda: state.catalog.version > version)


@contextlib.asynccontextmanager
async def connect(harness):
    """Open a caller's raw connection."""
    host, _, port = harness.gateway.core.settings.callers.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def send_raw(reader, writer):
    """Send a request on an open connection; return the status line."""
    writer.write(f'{HEAD}X-Verbenahall-Request-Id: r-1\r\n\r\n'.encode())
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    await reader.readexactly(length)
    return head.split(b'\r\n')[0]


async def is_closed(reader, within_s):
    """Return whether the instance closes the connection in time."""
    try:
        async with asyncio.timeout(within_s):
            return not await reader.read(1)
    except TimeoutError:
        return False


def test_body_beyond_the_bound_is_refused(tmp_path):
    async def check():
        async with open_with_limits(tmp_path, maxBodyBytes=100) as harness:
            status, _, _ = await harness.send('/proof/1', data=b'x' * 200)
            assert status == 413
            assert not harness.site.plain[0].runs

    run(check())


def test_head_beyond_the_bound_is_refused(tmp_path):
    # Each header line is within the limit, but there are too many of them.
    async def check():
        async with open_with_limits(tmp_path, maxHeaderBytes=1000) as harness:
            fields = {f'X-Own-{number}': 'x' * 50 for number in range(20)}
            status, _, _ = await harness.send('/proof/1', headers=fields)
            assert status == 431
            assert not harness.site.plain[0].runs
            assert (await harness.send('/proof/1'))[0] == 200

    run(check())


def test_incomplete_head_closes_the_connection(tmp_path):
    # A caller sends half a head and then nothing, on many connections. Without
    # a timeout for the head each one would stay open for the whole idle time.
    async def check():
        async with open_with_limits(tmp_path, headerTimeoutMs=200) as harness:
            async with connect(harness) as (reader, writer):
                writer.write(HEAD.encode())
                assert await is_closed(reader, 1)

    run(check())


def test_head_in_pieces_is_served_in_time(tmp_path):
    async def check():
        async with open_with_limits(tmp_path, headerTimeoutMs=600) as harness:
            async with connect(harness) as (reader, writer):
                writer.write(HEAD[:20].encode())
                await asyncio.sleep(0.2)
                writer.write(HEAD[20:].encode())
                await asyncio.sleep(0.2)
                writer.write(b'X-Verbenahall-Request-Id: r-1\r\n\r\n')
                head = await reader.readuntil(b'\r\n\r\n')
                assert b' 200 ' in head
                await reader.readexactly(len(b'page from page-0'))
                # The timeout of that head doesn't apply to what follows.
                assert not await is_closed(reader, 0.8)

    run(check())


def test_stalled_body_is_refused(tmp_path):
    async def check():
        async with open_with_limits(tmp_path, idleTimeoutMs=300) as harness:
            async with connect(harness) as (reader, writer):
                writer.write(
                    f'POST /proof/1 HTTP/1.1\r\nHost: {HOST}\r\n'
                    'Content-Length: 10\r\n\r\nabc'.encode(),
                )
                assert b' 408 ' in await reader.readline()
                assert not harness.site.plain[0].runs

    run(check())


def test_idle_connection_is_closed_after_the_bound(tmp_path):
    async def check():
        async with open_with_limits(tmp_path, idleTimeoutMs=1500) as harness:
            async with connect(harness) as (reader, writer):
                assert b' 200 ' in await send_raw(reader, writer)
                assert not await is_closed(reader, 1.2)
                assert await is_closed(reader, 1)

    run(check())


@pytest.mark.parametrize('opened_under_ms', [1200, 60_000])
def test_idle_time_is_that_of_the_manifest_in_force(tmp_path, opened_under_ms):
    # The operator raises the idle timeout while connections are open. A caller
    # that relies on the new timeout must not have its next request reset.
    async def check():
        async with open_with_limits(
            tmp_path,
            idleTimeoutMs=opened_under_ms,
        ) as harness:
            async with connect(harness) as (reader, writer):
                await send_raw(reader, writer)
                await publish_limits(harness, idleTimeoutMs=2500)
                await asyncio.sleep(2)
                assert b' 200 ' in await send_raw(reader, writer)
                assert await is_closed(reader, 3.5)

    run(check())
