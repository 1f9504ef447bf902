"""Streams with neither a length nor chunks, which end with their connection."""

import aiohttp
import pytest
from verbenahall_standins.platform import RawEndpoint
from verbenahall_standins.soak import Cut

from .conftest import PREFIX, run, run_gateway
from .cut_fleet import run_fleet

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Verbenahall-Server-Stamp: raw\r\n'
)
UNFRAMED = HEAD + b'\r\n'
#: As an instance forwards it, with the version that began the stream.
FORWARDED = HEAD + b'Verbenahall-Stream-Version: v1\r\n\r\n'
#: What ends an answer: the connection is closed, or reset.
CLOSED = b''
RESET = None


def make_event(number):
    return f'id: {number}\ndata: token-{number}\n\n'.encode()


HALF = make_event(3)[:9]
WHOLE = (make_event(1), make_event(2), CLOSED)
#: A stream that is broken off inside an event, or reset at the end of one.
BROKEN = (
    (make_event(1), make_event(2) + HALF, CLOSED),
    (make_event(1), make_event(2), RESET),
    (make_event(1), make_event(2) + HALF, RESET),
)


async def register_engine(harness, raw):
    """Register a raw endpoint as a decode engine, the only one."""
    await raw.start()
    raw.name = 'raw'
    raw.role = 'decode'
    raw.version = 'v1'
    harness.site.list_endpoint(raw)
    roster = harness.gateway.core.roster
    await harness.wait_until(lambda: 'raw' in roster.listings)


def read_numbers(request):
    """Return the Last-Event-Id of a raw request, empty for none."""
    lines = request.partition(b'\r\n\r\n')[0].decode().splitlines()
    rows = [line.partition(': ') for line in lines]
    return [text for name, _, text in rows if name == 'Last-Event-Id']


def test_stream_that_ends_with_its_connection_is_whole(tmp_path, numbers):
    async def check():
        raw = RawEndpoint((UNFRAMED, *WHOLE))
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, raw)
            status, headers, body = await harness.send('/blurb/1')
            assert status == 200
            assert headers[f'{PREFIX}Server-Stamp'] == 'raw'
            assert numbers(body) == [1, 2]
            assert len(raw.requests) == 1
            await raw.stop()

    run(check())


@pytest.mark.parametrize('pieces', BROKEN)
def test_broken_unframed_stream_does_not_look_complete(tmp_path, pieces):
    # Taken for the end, the caller would keep half an answer.
    async def check():
        raw = RawEndpoint((UNFRAMED, *pieces))
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, raw)
            with pytest.raises(aiohttp.ClientError):
                await harness.send('/blurb/1')
            await raw.stop()

    run(check())


@pytest.mark.parametrize('pieces', BROKEN)
def test_broken_unframed_stream_is_resumed_after_its_last_event(
    tmp_path, numbers, pieces
):
    async def check():
        rest = (UNFRAMED, make_event(3), CLOSED)
        raw = RawEndpoint((UNFRAMED, *pieces), rest)
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, raw)
            status, _, body = await harness.send('/summary/1')
            assert status == 200
            assert numbers(body) == [1, 2, 3]
            assert read_numbers(raw.requests[1]) == ['2']
            await raw.stop()

    run(check())


def test_unframed_stream_behind_a_hop_is_whole(tmp_path, numbers):
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            async with fleet.run_peer((FORWARDED, *WHOLE)):
                status, _, body = await cut.send('/blurb/1', 'stream')
            assert status == 200
            assert numbers(body) == [1, 2]
            assert not fleet.count_runs('stream')

    run(check())


@pytest.mark.parametrize('pieces', BROKEN)
def test_broken_unframed_stream_behind_a_hop_is_not_whole(tmp_path, pieces):
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            async with fleet.run_peer((FORWARDED, *pieces)):
                with pytest.raises(aiohttp.ClientError):
                    await cut.send('/blurb/1', 'stream')
            assert not fleet.count_runs('stream')

    run(check())


@pytest.mark.parametrize('pieces', BROKEN)
def test_broken_unframed_stream_behind_a_hop_goes_on_at_a_peer(
    tmp_path, numbers, pieces
):
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            async with fleet.run_peer((FORWARDED, *pieces)):
                status, _, body = await cut.send('/summary/1', 'stream')
            assert status == 200
            assert numbers(body) == [1, 2, 3, 4, 5]

    run(check())
