"""Bodies that must yield their memory to others."""

import asyncio

from aiohttp import web

from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind
from verbenahall.front import Runner, read_request_body

HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n'
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
        results = asyncio.Queue()

        async def receive(request):
            read = await read_request_body(request, 1_000_000, 30)
            results.put_nowait(read.failure().kind)
            return web.Response(status=408)

        app = web.Application()
        app.router.add_post('/', receive)
        runner = Runner(app, LIMITS)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(HEAD + bytes(1000))
        while not runner._manager.connections:
            await asyncio.sleep(0.01)
        (connection,) = runner._manager.connections
        while not connection.share.count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        connection.data_received(bytes(1000))
        connection.yield_memory()
        async with asyncio.timeout(5):
            kind = await results.get()
        while connection.share.count:
            await asyncio.sleep(0.01)
        writer.close()
        await runner.cleanup()
        return kind

    assert asyncio.run(run()) is ErrorKind.REQUEST_TIMEOUT
