"""Enforces the manifest's limits on the size and pace of requests."""

import asyncio
import contextlib
from typing import Final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.buffers import ByteBudget, HeldBytes
from verbenahall.catalog import Limits
from verbenahall.errors import ErrorKind, Problem, Ran

_HELD: Final = web.RequestKey('held', HeldBytes)
#: Bytes of a header line beside the header's name and value.
_SEPARATOR_BYTES: Final = len(': \r\n')
#: Time to read bytes that wait in the socket, in seconds.
_UNREAD_S: Final = 0.05
#: When a request may come back whose body does not fit into what the instance
#: holds, in seconds: most bodies are passed on within this time.
_BUSY_RETRY_AFTER_S: Final = 0.5


async def read_limited_body(
    request: web.Request,
    limits: Limits,
    budget: ByteBudget,
) -> Result[bytes, Problem]:
    """Return a request's body, or the limit that the request exceeds.

    The body is counted in the budget until the request has ended. One that is
    too long for what is left of it is refused before it is read.
    """
    head = _check_head(request, limits)
    if isinstance(head, Failure):
        return head
    if not request.body_exists:
        return Success(b'')
    held = budget.open()
    request[_HELD] = held
    length = request.content_length or 0
    if length <= limits.body_bytes and not held.add(length):
        return Failure(_make_busy_problem())
    return await _read_body(request, limits, held)


def release_body(request: web.Request) -> None:
    """Stop counting the body of a request that has ended."""
    held = request.get(_HELD)
    if held is not None:
        held.release()


def _check_head(request: web.Request, limits: Limits) -> Result[None, Problem]:
    """Check the size of the whole head; the library only limits each line."""
    size = len(request.raw_path) + sum(
        len(name) + len(line) + _SEPARATOR_BYTES
        for name, line in request.raw_headers
    )
    if size <= limits.header_bytes:
        return Success(None)
    message = f'the headers have more than {limits.header_bytes} bytes'
    return Failure(Problem(ErrorKind.HEADERS_TOO_LARGE, message))


async def _read_body(
    request: web.Request,
    limits: Limits,
    held: HeldBytes,
) -> Result[bytes, Problem]:
    """Read a whole body within the limits on its size and idle time."""
    body = bytearray()
    try:
        while piece := await _read_piece(request, limits.idle_timeout_s):
            body += piece
            if len(body) > limits.body_bytes:
                message = f'the body has more than {limits.body_bytes} bytes'
                return Failure(Problem(ErrorKind.TOO_LARGE, message))
            if not held.add(max(0, len(body) - held.count)):
                return Failure(_make_busy_problem())
    except TimeoutError:
        message = f'no body bytes received for {limits.idle_timeout_s} s'
        return Failure(Problem(ErrorKind.REQUEST_TIMEOUT, message))
    return Success(bytes(body))


def _make_busy_problem() -> Problem:
    return Problem(
        ErrorKind.OVERLOADED,
        'the instance holds too many bytes of other requests',
        Ran.NO,
        retry_after_s=_BUSY_RETRY_AFTER_S,
    )


async def _read_piece(request: web.Request, idle_timeout_s: float) -> bytes:
    """Return the next bytes of a body, none at its end.

    Raises ``TimeoutError`` after the timeout. After a pause of the process
    timers run before reads, so bytes may wait in the socket at that time.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(idle_timeout_s):
            return await request.content.readany()
    async with asyncio.timeout(_UNREAD_S):
        return await request.content.readany()
