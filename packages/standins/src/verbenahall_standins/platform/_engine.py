"""An engine of the platform: reads prompts, generates events, takes orders."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable
from typing import Any, Final, final

from aiohttp import web
from multidict import CIMultiDict

from verbenahall_standins.platform._serving import listen

_PREFIX: Final = 'X-Verbenahall-'
_STAMP: Final = 'stand-in'
_REFUSED: Final = 503
_MISDIRECTED: Final = 421


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that a test switches on.

    ``full`` refuses everything, ``mute`` accepts and says nothing,
    ``break_after`` resets a stream after so many events, ``half_event``
    leaves a part of the next one behind, ``stall_after`` falls silent.
    ``slow_read_s`` lengthens reads, ``no_orders`` leaves orders unanswered,
    ``unsigned`` streams bear no signature, ``slow_head_s`` delays the head of
    a stream. A request with the body ``crash_on`` crashes the engine as it
    begins to run; it is back ``restart_s`` later under another name.
    """

    full: bool = False
    mute: bool = False
    break_after: int | None = None
    half_event: bool = False
    stall_after: int | None = None
    slow_read_s: float = 0
    no_orders: bool = False
    unsigned: bool = False
    slow_head_s: float = 0
    crash_on: str | None = None
    restart_s: float = 0.2


@final
class EngineStandIn:
    """One engine on loopback; ``runs`` and ``reads`` are what it did."""

    def __init__(self, name: str, role: str, events: int = 5) -> None:
        """Prepare an engine whose streams have so many events."""
        self.name = name
        self.role = role
        self.events = events
        self.faults = EngineFaults()
        self.address = ''
        self.runs: list[CIMultiDict[str]] = []
        self.reads: list[CIMultiDict[str]] = []
        self.freed: list[str] = []
        self.cut: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.handles: dict[str, str] = {}
        self.crashes = 0
        #: Called with the name before a crash, once the engine is back.
        self.restarted: Callable[[EngineStandIn, str], object] = _ignore
        self._numbers = itertools.count(1)
        self._restarts: set[asyncio.Task[None]] = set()
        self._fence = 0
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        app = web.Application()
        app.router.add_get('/-/report', self._report)
        app.router.add_post('/-/order', self._order)
        app.router.add_delete('/-/kv-handle/{handle}', self._free)
        app.router.add_route('*', '/{path:.*}', self._serve)
        served = await listen(app, port)
        self._runner = served.runner
        self.address = served.address

    async def stop(self) -> None:
        """Close the listener and every connection."""
        for restart in tuple(self._restarts):
            restart.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self) -> None:
        """Drop every connection, and be back later as another start."""
        self.crashes += 1
        await _abort(self._runner)
        restart = asyncio.create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(self.faults.restart_s)
        await self._runner.cleanup()
        before = self.name
        base, _, _ = before.partition('.')
        self.name = f'{base}.{self.crashes}'
        await self.start(int(self.address.rpartition(':')[2]))
        self.restarted(self, before)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = CIMultiDict(request.headers)
        body = await request.read()
        headers['body'] = body.decode()
        if self.faults.mute:
            await asyncio.sleep(3600)
        expected = headers.get(f'{_PREFIX}Expect-Instance', self.name)
        if expected != self.name:
            return self._refuse(_MISDIRECTED)
        if self.faults.full:
            return self._refuse(_REFUSED)
        if headers.get(f'{_PREFIX}Stage') == 'prefill':
            return await self._read(headers)
        if self.role != 'decode':
            return self._refuse(_MISDIRECTED)
        if headers['body'] == self.faults.crash_on:
            self.runs.append(headers)
            await self.crash()
            await asyncio.sleep(3600)
        return await self._generate(request, headers)

    async def _read(self, headers: CIMultiDict[str]) -> web.Response:
        if self.role != 'prefill':
            return self._refuse(_MISDIRECTED)
        await asyncio.sleep(self.faults.slow_read_s)
        self.reads.append(headers)
        handle = f'{self.name}-h{next(self._numbers)}'
        identity = headers[f'{_PREFIX}Request-Id']
        self.handles[handle] = identity
        tokens = headers.get(f'{_PREFIX}Token-Count', '0').partition(',')[0]
        return web.json_response(
            {'kvHandle': handle, 'tokens': int(tokens), 'version': 1},
            headers={f'{_PREFIX}Request-Id': identity},
        )

    async def _generate(
        self,
        request: web.Request,
        headers: CIMultiDict[str],
    ) -> web.StreamResponse:
        self.runs.append(headers)
        identity = headers[f'{_PREFIX}Request-Id']
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                f'{_PREFIX}Request-Id': identity,
                f'{_PREFIX}Server-Stamp': f'{_STAMP}-{self.name}',
            },
        )
        if self.faults.unsigned:
            response.headers.pop(f'{_PREFIX}Server-Stamp')
        await asyncio.sleep(self.faults.slow_head_s)
        await response.prepare(request)
        first = int(headers.get('Last-Event-Id', '0')) + 1
        try:
            for sent, number in enumerate(range(first, self.events + 1)):
                if sent == self.faults.break_after:
                    return self._break(request, response)
                if sent == self.faults.stall_after:
                    await asyncio.sleep(3600)
                await response.write(_event(number))
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self.cut.append(identity)
            raise
        return response

    def _break(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        transport = request.transport
        if self.faults.half_event:
            transport.write(b'6\r\nid: 99\r\n')
        transport.close()
        return response

    def _refuse(self, status: int) -> web.Response:
        headers = {f'{_PREFIX}Not-Run': '1'}
        return web.Response(status=status, headers=headers)

    async def _free(self, request: web.Request) -> web.Response:
        self.freed.append(request.match_info['handle'])
        return web.Response()

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'stage': self.role,
                'busy': False,
                'seq': len(self.orders),
                'waiting': 0,
                'running': 0,
                'kvUsed': 0,
            },
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if self.faults.no_orders:
            await asyncio.sleep(3600)
        if order['fence'] < self._fence:
            return web.Response(status=412)
        if order['expect'] != len(self.orders):
            return web.Response(status=409)
        self._fence = order['fence']
        self.orders.append({**order, 'at': time.monotonic()})
        self.role = order['stage']
        return web.Response(status=202)


async def _abort(runner: web.AppRunner) -> None:
    """Reset every connection and refuse new ones."""
    for connection in tuple(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()
    for site in tuple(runner.sites):
        await site.stop()


def _ignore(engine: EngineStandIn, before: str) -> None:
    """List a new start nowhere."""


def _event(number: int) -> bytes:
    return f'id: {number}\ndata: token-{number}\n\n'.encode()
