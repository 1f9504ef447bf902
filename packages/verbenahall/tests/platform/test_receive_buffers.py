"""Receive buffers of connections to endpoints, by the memory of the process."""

import asyncio
import socket

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from verbenahall import buffers, front, platform
from verbenahall.memory import Bounds

BOUNDS = Bounds.from_total(1_000_000)
CALLS = 30


@pytest.mark.parametrize(
    'make_session', [front.make_session, platform.make_session]
)
def test_buffers_of_many_calls_are_bounded(make_session):
    # What endpoints send lies in them before the process can count it: up to
    # megabytes for each call of the product's own interface.
    async def run():
        is_full = asyncio.Event()
        sizes = []

        async def answer(request):
            await is_full.wait()
            return web.Response()

        app = web.Application()
        app.router.add_get('/', answer)
        async with TestServer(app) as server, make_session(BOUNDS) as session:
            async with asyncio.timeout(10):
                calls = [
                    asyncio.create_task(session.get(server.make_url('/')))
                    for _ in range(CALLS)
                ]
                opened = session.connector._acquired
                while sum(bool(one.transport) for one in opened) < CALLS:
                    await asyncio.sleep(0.01)
                for one in opened:
                    found = one.transport.get_extra_info('socket')
                    sizes.append(
                        found.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
                    )
                is_full.set()
                for answered in await asyncio.gather(*calls):
                    answered.release()
        return sizes

    sizes = asyncio.run(run())
    large = buffers.BUFFER_FACTOR * buffers.RECEIVE_BUFFER_BYTES
    small = buffers.BUFFER_FACTOR * buffers.CROWD_BUFFER_BYTES
    assert set(sizes) == {large, small}
    assert sizes.count(large) * large <= BOUNDS.total / 2
