"""How each fault changes the handling of a request."""

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

#: SO_LINGER on with zero seconds: ``close`` sends RST instead of FIN.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
#: Seconds to wait for written bytes to be sent, because RST discards unsent
#: ones.
_FLUSH_WAIT_S: Final = 0.01


#: Default count of a fault, which then stays active until it is cleared.
_UNLIMITED: Final = 1 << 60


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault; fields that its ``name`` does not use are ignored.

    For ``hang`` and ``reset``, ``started`` says whether the request's handler
    runs before the fault takes effect.
    """

    name: str
    path: str = ''
    holders: tuple[str, ...] = ()
    count: int = _UNLIMITED
    delay_s: float = 0
    after_bytes: int = 0
    after_chunks: int = 0
    started: bool = True


def reset_connection(request: web.Request) -> None:
    """Close the request's connection with RST, discarding unsent bytes."""
    transport = request.transport
    if transport is None:
        return
    connection = transport.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


async def _fail(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    return answers.build_failure('down')


async def _refuse(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    return answers.build_refusal('refused by a fault')


async def _delay_request(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    await asyncio.sleep(fault.delay_s)
    return await handler(request)


async def _delay_answer(
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
    return answers.build_answer({})


async def _drop_connection(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    reset_connection(request)
    return answers.build_answer({})


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
    """Reset after ``after_bytes`` of the body, or before the head if 0."""
    if not fault.started:
        reset_connection(request)
        return answers.build_answer({})
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
    await asyncio.sleep(_FLUSH_WAIT_S)


async def _truncate(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """End a stream after ``after_chunks`` without its closing event.

    The HTTP response itself ends properly.
    """
    request['truncate_after_chunks'] = fault.after_chunks
    return await handler(request)


async def _duplicate(
    fault: Fault,
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Send each chunk of a stream, or a whole plain answer, twice."""
    request['duplicate'] = True
    answer = await handler(request)
    if isinstance(answer, web.Response) and request.transport:
        await answer.prepare(request)
        body = bytes(answer.body or b'')
        await answer.write_eof()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        request.transport.write(head.encode() + body)
    return answer


ACTIONS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'down': _fail,
        'refuse': _refuse,
        'slow': _delay_request,
        'late': _delay_answer,
        'hang': _hang,
        'partition': _drop_connection,
        'lose_answer': _lose_answer,
        'reset': _reset,
        'truncate': _truncate,
        'duplicate': _duplicate,
    },
)
