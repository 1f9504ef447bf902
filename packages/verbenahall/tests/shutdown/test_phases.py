"""Phases of a graceful stop, and the requests that are open during it."""

import asyncio

import pytest
from aiohttp import ClientSession, TCPConnector, web

from verbenahall.shutdown import (
    Effect,
    GracefulStop,
    HandedOver,
    Phase,
    ShutdownState,
    StopRequested,
    StopTiming,
    Tick,
    decide,
)

STREAMS = 200
TIMING = StopTiming(grace_s=20, notice_s=0.2, linger_s=0.2, hand_over_s=1)


def test_phases_in_order():
    """The platform stops an instance with two open requests."""
    state = ShutdownState(StopTiming(30, 2, 1, 2))
    steps = [
        (0, Tick(2), Phase.SERVING, ()),
        (1, StopRequested(), Phase.NOT_READY, (Effect.ANNOUNCE_LEAVING,)),
        (2, StopRequested(), Phase.NOT_READY, ()),
        (3, Tick(2), Phase.REFUSING, (Effect.CLOSE_LISTENERS,)),
        (4, Tick(2), Phase.FINISHING, ()),
        (9, Tick(1), Phase.FINISHING, ()),
        (
            10,
            Tick(0),
            Phase.HANDING_OVER,
            (Effect.CUT_REMAINING, Effect.HAND_OVER),
        ),
        (11, HandedOver(), Phase.GONE, ()),
        (12, Tick(0), Phase.GONE, ()),
    ]
    for now, message, phase, effects in steps:
        assert decide(state, message, now) == effects
        assert state.phase is phase


@pytest.mark.parametrize('grace_s', [0, 1, 5])
def test_grace_bounds_the_stop(grace_s):
    """A caller never reads its stream to the end.

    Without a time limit the platform would kill the process before it has
    released its leases.
    """
    state = ShutdownState(StopTiming(grace_s, 2, 1, 2))
    decide(state, StopRequested(), 0)
    now = 0
    while state.phase is not Phase.GONE:
        now += 0.05
        decide(state, Tick(1), now)

    assert now <= grace_s + 2 + 0.5


async def serve(stop):
    app = web.Application()
    finish = asyncio.Event()

    async def stream(request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'first,')
        await finish.wait()
        await response.write(b'last')
        return response

    async def plain(request):
        return web.Response(text='plain')

    stop.add_to(app)
    app.router.add_get('/stream', stream)
    app.router.add_get('/plain', plain)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    stop.hooks.close.append(site.stop)
    port = site._server.sockets[0].getsockname()[1]
    return runner, f'http://127.0.0.1:{port}', finish


async def wait_for_phase(stop, phase):
    async with asyncio.timeout(20):
        while stop.state.phase is not phase:
            await asyncio.sleep(0.01)


def test_open_streams_finish_uncut():
    """An instance gets two stop requests while 200 streams are open.

    Every stream must be complete. A request on an open connection must get a
    response with ``Connection: close``, never a reset.
    """

    async def main():
        stop = GracefulStop(TIMING)
        runner, url, finish = await serve(stop)
        handed_over = []

        async def hand_over():
            handed_over.append(stop.state.phase)

        stop.hooks.hand_over.append(hand_over)
        running = asyncio.create_task(stop.run())
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            answers = await asyncio.gather(
                *(session.get(f'{url}/stream') for _ in range(STREAMS)),
            )
            assert (await session.get(f'{url}/plain')).status == 200
            stop.request_stop()
            stop.request_stop()
            await wait_for_phase(stop, Phase.REFUSING)
            late = await session.get(f'{url}/plain')
            assert late.headers['Connection'] == 'close'
            await wait_for_phase(stop, Phase.FINISHING)
            finish.set()
            bodies = await asyncio.gather(*(one.text() for one in answers))
            assert set(bodies) == {'first,last'}
            await asyncio.wait_for(running, 20)
        assert handed_over == [Phase.HANDING_OVER]
        await runner.cleanup()

    asyncio.run(main())


def test_hanging_hook_does_not_delay_the_stop():
    """The log is unavailable when an instance with a lease is stopped."""

    async def main():
        stop = GracefulStop(StopTiming(1, 0, 0, 0.2))
        stop.hooks.hand_over.append(asyncio.Event().wait)
        stop.request_stop()
        await asyncio.wait_for(stop.run(), 10)
        assert stop.state.phase is Phase.GONE

    asyncio.run(main())
