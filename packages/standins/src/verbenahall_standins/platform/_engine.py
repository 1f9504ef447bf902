"""An engine of the platform: prefill, decode and orders of roles."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

from aiohttp import web
from multidict import CIMultiDict

from verbenahall_standins.platform._exchanges import (
    EXCHANGE,
    Exchange,
    ExchangeEnd,
    Exchanges,
)
from verbenahall_standins.platform._notices import Notices
from verbenahall_standins.platform._serving import (
    echo_request_ids,
    listen,
)

_PREFIX: Final = 'X-Verbenahall-'
_STAMP: Final = 'stand-in'
_REFUSED: Final = 503
_MISDIRECTED: Final = 421
#: Time from the head of an answer to a crash on a part, in seconds.
_CRASH_DELAY_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that a test sets.

    ``full`` refuses every request, ``unresponsive`` accepts requests and never
    answers. ``break_after`` closes a stream after that many events, with
    ``half_event`` in the middle of the next event; ``stall_after`` sends no
    more events after that many. ``prefill_delay_s`` is the duration of a
    prefill and ``slow_head_s`` the delay of a stream's head, in seconds.
    ``fails_resumed`` answers 500 to a stream that is to go on after an event.
    ``event_pause_s`` is the time between two events in seconds.
    ``silent_after`` sends nothing for ``silent_s`` seconds after that many
    events of a stream, and then goes on.
    ``no_orders`` leaves orders unanswered, ``unsigned`` omits the stamp of
    streams. A request with the body ``crash_on`` crashes the engine when it
    starts; the engine restarts ``restart_s`` seconds later under a new name. So
    does one whose prompt has the part ``crash_on_part`` before its last, a
    moment after the head of the answer.
    """

    full: bool = False
    unresponsive: bool = False
    break_after: int | None = None
    half_event: bool = False
    stall_after: int | None = None
    prefill_delay_s: float = 0
    fails_resumed: bool = False
    no_orders: bool = False
    unsigned: bool = False
    slow_head_s: float = 0
    event_pause_s: float = 0
    silent_after: int | None = None
    silent_s: float = 1.5
    crash_on: str | None = None
    crash_on_part: str | None = None
    restart_s: float = 0.2

    @property
    def are_set(self) -> bool:
        """Whether a request that arrives now is refused or not answered."""
        return self.will_fail(0)

    def will_fail(self, sent: int) -> bool:
        """Whether a stream fails that has so many events."""
        ends = (self.break_after, self.stall_after)
        breaks = any(end is not None and sent <= end for end in ends)
        return breaks or (not sent and (self.full or self.unresponsive))


@dataclasses.dataclass(frozen=True, slots=True)
class PartRun:
    """A run on a part that crashes engines; ``at`` is in monotonic seconds."""

    part: str
    at: float
    request_id: str


@final
class EngineStandIn:
    """One engine on loopback.

    ``version`` is that of its software. ``runs`` and ``prefills`` hold the
    headers of its decode and prefill requests, ``freed`` the released KV
    handles, ``cancelled`` the ids of the requests whose stream was cancelled,
    ``notices`` the headers about itself, ``exchanges`` how its requests ended,
    and pauses.
    """

    def __init__(
        self, name: str, role: str, events: int = 5, version: str = 'v1'
    ) -> None:
        """Prepare an engine whose streams have ``events`` events."""
        self.name = name
        self.version = version
        self.notices = Notices()
        self.role = role
        self.state = 'ready'
        self.events = events
        self.faults = EngineFaults()
        self.exchanges = Exchanges(self._is_sound)
        self.address = ''
        self.runs: list[CIMultiDict[str]] = []
        self.prefills: list[CIMultiDict[str]] = []
        self.freed: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.handles: dict[str, str] = {}
        self.crashes = 0
        self.is_down = False
        #: Runs on a part that crashes engines, and the crashes: the part and
        #: the time in monotonic seconds.
        self.part_runs: list[PartRun] = []
        self.part_crashes: list[tuple[str, float]] = []
        #: Called when the engine crashes, before its connections are reset.
        self.crashed: Callable[[EngineStandIn], Awaitable[None]] = _ignore_crash
        #: Called with the old name when the engine has restarted.
        self.restarted: Callable[[EngineStandIn, str], object] = _ignore_restart
        self._numbers = itertools.count(1)
        self._restart_tasks: set[asyncio.Task[None]] = set()
        self._max_fence = 0
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port, 0 for a free one."""
        app = web.Application()
        self.notices.install(app)
        echo_request_ids(app)
        self.exchanges.install(app)
        app.router.add_get('/-/report', self._report)
        app.router.add_post('/-/order', self._order)
        app.router.add_delete('/-/kv-handle/{handle}', self._release_handle)
        app.router.add_route('*', '/{path:.*}', self._serve)
        running = await listen(app, port)
        self._runner = running.runner
        self.address = running.address

    async def stop(self) -> None:
        """Close the listener and every connection."""
        for restart_task in tuple(self._restart_tasks):
            restart_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self) -> None:
        """Reset every connection and restart later under a new name."""
        self.crashes += 1
        self.is_down = True
        self.exchanges.break_open()
        await self.crashed(self)
        await _abort(self._runner)
        restart_task = asyncio.create_task(self._restart())
        self._restart_tasks.add(restart_task)
        restart_task.add_done_callback(self._restart_tasks.discard)

    def _is_sound(self, exchange: Exchange) -> bool:
        # A prefill is one answer, which no fault of streams breaks off.
        faults = self.faults
        if exchange.stage == 'prefill':
            return not (self.is_down or faults.full or faults.unresponsive)
        return not (self.is_down or faults.will_fail(len(exchange.output_at)))

    async def _restart(self) -> None:
        await asyncio.sleep(self.faults.restart_s)
        await self._runner.cleanup()
        old_name = self.name
        base, _, _ = old_name.partition('.')
        self.notices.restart()
        self.name = '.'.join((base, str(self.notices.start)))
        await self.start(int(self.address.rpartition(':')[2]))
        self.is_down = False
        self.restarted(self, old_name)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = CIMultiDict(request.headers)
        body = await request.read()
        headers['body'] = body.decode()
        if self.faults.unresponsive:
            request[EXCHANGE].finish(ExchangeEnd.BROKEN)
            await asyncio.sleep(3600)
        expected = headers.get(f'{_PREFIX}Expect-Instance', self.name)
        if expected != self.name:
            return self._refuse(_MISDIRECTED)
        if self.faults.full:
            return self._refuse(_REFUSED)
        if headers.get(f'{_PREFIX}Stage') == 'prefill':
            return await self._prefill(headers)
        if self.role != 'decode':
            return self._refuse(_MISDIRECTED)
        if headers['body'] == self.faults.crash_on:
            self.runs.append(headers)
            await self.crash()
            await asyncio.sleep(3600)
        return await self._decode(request, headers)

    async def _prefill(self, headers: CIMultiDict[str]) -> web.Response:
        if self.role != 'prefill':
            return self._refuse(_MISDIRECTED)
        await asyncio.sleep(self.faults.prefill_delay_s)
        self.prefills.append(headers)
        handle = f'{self.name}-h{next(self._numbers)}'
        request_id = headers[f'{_PREFIX}Request-Id']
        self.handles[handle] = request_id
        tokens = headers.get(f'{_PREFIX}Token-Count', '0').partition(',')[0]
        return web.json_response(
            {'kvHandle': handle, 'tokens': int(tokens), 'version': 1},
            headers={f'{_PREFIX}Request-Id': request_id},
        )

    async def _decode(
        self,
        request: web.Request,
        headers: CIMultiDict[str],
    ) -> web.StreamResponse:
        self.runs.append(headers)
        request_id = headers[f'{_PREFIX}Request-Id']
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                f'{_PREFIX}Request-Id': request_id,
                f'{_PREFIX}Server-Stamp': f'{_STAMP}-{self.name}',
            },
        )
        if self.faults.unsigned:
            response.headers.pop(f'{_PREFIX}Server-Stamp')
        first = int(headers.get('Last-Event-Id', '0')) + 1
        if first > 1 and self.faults.fails_resumed:
            return web.Response(status=500, headers=response.headers)
        exchange = request[EXCHANGE]
        version = self.version
        await asyncio.sleep(self.faults.slow_head_s)
        await self.exchanges.wait()
        await response.prepare(request)
        await self._crash_on_part(headers, exchange)
        try:
            for sent, number in enumerate(range(first, self.events + 1)):
                if sent == self.faults.break_after:
                    exchange.finish(ExchangeEnd.BROKEN)
                    return self._break_stream(request, response)
                await self._be_silent(sent, exchange)
                await self.exchanges.wait()
                exchange.record_event()
                await response.write(_event(number, version))
                await asyncio.sleep(self.faults.event_pause_s)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        except ConnectionResetError:
            exchange.finish(ExchangeEnd.LEFT)
            self.cancelled.append(request_id)
        return response

    async def _be_silent(self, sent: int, exchange: Exchange) -> None:
        """Send nothing for a while, or no more, after so many events."""
        if sent == self.faults.stall_after:
            exchange.finish(ExchangeEnd.BROKEN)
            await asyncio.sleep(3600)
        if sent == self.faults.silent_after:
            await asyncio.sleep(self.faults.silent_s)

    async def _crash_on_part(
        self, headers: CIMultiDict[str], exchange: Exchange
    ) -> None:
        part = self.faults.crash_on_part
        if part in _list_shared_parts(headers):
            # The run of a request that was held in a pause counts from when
            # it was sent.
            run = PartRun(part, exchange.started_at, exchange.request_id)
            self.part_runs.append(run)
            crashes, name = self.crashes, self.name
            await asyncio.sleep(_CRASH_DELAY_S)
            if (self.crashes, self.name) == (crashes, name):
                self.part_crashes.append((part, time.monotonic()))
                await self.crash()
            exchange.finish(ExchangeEnd.BROKEN)
            await asyncio.sleep(3600)

    def _break_stream(
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

    async def _release_handle(self, request: web.Request) -> web.Response:
        self.freed.append(request.match_info['handle'])
        return web.Response()

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'stage': self.role,
                'state': self.state,
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
        if order['fence'] < self._max_fence:
            return web.Response(status=412)
        if order['expect'] != len(self.orders):
            return web.Response(status=409)
        self._max_fence = order['fence']
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


def _list_shared_parts(headers: CIMultiDict[str]) -> list[str]:
    """Return the identities of the parts of a prompt before its last."""
    parts = headers.get(f'{_PREFIX}Prompt-Prefix', '').split(',')
    return [one.partition(':')[0] for one in parts[:-1]]


async def _ignore_crash(engine: EngineStandIn) -> None:
    """Ignore a crash of an engine behind no links."""


def _ignore_restart(engine: EngineStandIn, old_name: str) -> None:
    """Ignore a restart of an engine that is not listed."""


def _event(number: int, version: str) -> bytes:
    return f'id: {number}\ndata: token-{number} of {version}\n\n'.encode()
