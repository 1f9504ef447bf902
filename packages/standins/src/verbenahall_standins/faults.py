"""Faults that a test switches on in a stand-in, by ``POST /faults``.

One fault holds for the requests whose path starts with ``path`` and whose
``X-Instance`` is among ``holders`` (all when empty), ``count`` times (without
end when left out). ``{"name": "clear"}`` ends all of them.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from aiohttp import web

from verbenahall_standins import answers

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Routes that no fault touches.
_TEST_ROUTES: Final = ('/faults', '/record')
#: SO_LINGER on, zero seconds: close sends RST instead of FIN.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
#: Lets the written part leave before RST drops what is unsent.
_FLUSH_S: Final = 0.01
_UNLIMITED: Final = 1 << 60


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault; fields that its ``name`` does not use are ignored."""

    name: str
    path: str = ''
    holders: tuple[str, ...] = ()
    count: int = _UNLIMITED
    delay_s: float = 0
    after_bytes: int = 0
    after_chunks: int = 0
    started: bool = True


class Faults:
    """The faults that are switched on in one process."""

    __slots__ = ('_active', 'on_change')

    def __init__(self) -> None:
        """Start without any fault."""
        self._active: list[Fault] = []
        self.on_change: Callable[[], None] = _do_nothing

    def switch(self, body: Mapping[str, Any]) -> None:
        """Add the fault that a request body describes, or clear all."""
        if body['name'] == 'clear':
            self._active.clear()
        else:
            known = {field.name for field in dataclasses.fields(Fault)}
            given = {key: body[key] for key in known.intersection(body)}
            given['holders'] = tuple(body.get('holders', ()))
            self._active.append(Fault(**given))
        self.on_change()

    def find(self, name: str) -> Fault | None:
        """Return the active fault of this name, without using it up."""
        return next(
            (fault for fault in self._active if fault.name == name),
            None,
        )

    def take(self, request: web.Request) -> Fault | None:
        """Return the request's fault, using up one of its count."""
        for fault in self._active:
            if fault.name in _ACTIONS and _matches(fault, request):
                return self._use(fault)
        return None

    def use(self, name: str) -> Fault | None:
        """Return the active fault of this name, using up one count."""
        fault = self.find(name)
        return None if fault is None else self._use(fault)

    def _use(self, fault: Fault) -> Fault:
        fault.count -= 1
        if fault.count <= 0:
            self._active.remove(fault)
        return fault


def _do_nothing() -> None:
    """Stand in for a hook that nobody set."""


def _matches(fault: Fault, request: web.Request) -> bool:
    if not request.path.startswith(fault.path):
        return False
    holder = request.headers.get('X-Instance', '')
    return not fault.holders or holder in fault.holders


def reset_connection(request: web.Request) -> None:
    """Close the request's connection with RST, dropping unsent bytes."""
    transport = request.transport
    if transport is None:
        return
    endpoint = transport.get_extra_info('socket')
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


async def _answer_down(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    return answers.refuse_late('down')


async def _answer_refusal(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    return answers.refuse('refused by a fault')


async def _act_slowly(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    await asyncio.sleep(fault.delay_s)
    return await handler(request)


async def _answer_late(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    answer = await handler(request)
    await asyncio.sleep(fault.delay_s)
    return answer


async def _hang(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    if fault.started:
        await handler(request)
    await asyncio.Event().wait()
    return answers.answer_json({})


async def _drop(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    reset_connection(request)
    return answers.answer_json({})


async def _lose_answer(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    request['reset_after_bytes'] = 0
    answer = await handler(request)
    reset_connection(request)
    return answer


async def _reset(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Reset after ``after_bytes`` of the answer; 0 is before its first."""
    if not fault.started:
        reset_connection(request)
        return answers.answer_json({})
    request['reset_after_bytes'] = fault.after_bytes
    answer = await handler(request)
    if isinstance(answer, web.Response) and fault.after_bytes:
        await _write_part(answer, request, fault.after_bytes)
    reset_connection(request)
    return answer


async def _write_part(
    answer: web.Response,
    request: web.Request,
    size: int,
) -> None:
    body = bytes(answer.body or b'')
    part = web.StreamResponse(status=answer.status, headers=answer.headers)
    part.content_length = len(body)
    await part.prepare(request)
    await part.write(body[:size])
    await asyncio.sleep(_FLUSH_S)


async def _truncate(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """End a stream in good order after ``after_chunks``, without its end."""
    request['truncate_after_chunks'] = fault.after_chunks
    return await handler(request)


async def _duplicate(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Write each chunk of a stream, or the whole plain answer, twice."""
    request['duplicate'] = True
    answer = await handler(request)
    if isinstance(answer, web.Response) and request.transport:
        await answer.prepare(request)
        body = bytes(answer.body or b'')
        await answer.write_eof()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        request.transport.write(head.encode() + body)
    return answer


_ACTIONS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'down': _answer_down,
        'refuse': _answer_refusal,
        'slow': _act_slowly,
        'late': _answer_late,
        'hang': _hang,
        'partition': _drop,
        'lose_answer': _lose_answer,
        'reset': _reset,
        'truncate': _truncate,
        'duplicate': _duplicate,
    },
)
#: Faults that also end a long poll which began before them.
_CUTS: Final = frozenset(('down', 'partition', 'hang'))


class _FaultRoutes:
    """The route that switches faults, and what puts them around others."""

    __slots__ = ('_faults',)

    def __init__(self, faults: Faults) -> None:
        self._faults = faults

    async def switch(self, request: web.Request) -> web.Response:
        self._faults.switch(await request.json())
        return answers.answer_json({})

    @web.middleware
    async def surround(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        if request.path in _TEST_ROUTES:
            return await handler(request)
        fault = self._faults.take(request)
        if fault is None:
            return await handler(request)
        return await _ACTIONS[fault.name](fault, request, handler)


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Serve ``POST /faults`` and put the faults around all other routes."""
    routes = _FaultRoutes(faults)
    app.router.add_post('/faults', routes.switch)
    app.middlewares.append(routes.surround)


async def cut_poll(
    faults: Faults,
    request: web.Request,
    answer: web.StreamResponse,
) -> web.StreamResponse:
    """Apply a fault that was switched on while a long poll waited."""
    fault = faults.take(request)
    if fault is None or fault.name not in _CUTS:
        return answer
    return await _ACTIONS[fault.name](fault, request, _return_empty)


async def _return_empty(request: web.Request) -> web.StreamResponse:
    return answers.answer_json({})
