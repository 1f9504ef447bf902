"""Enforces the manifest's limits on the size and pace of requests."""

import asyncio
import contextlib
from typing import Final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.catalog import Limits
from verbenahall.errors import ErrorKind, Problem

#: Bytes of a header line beside the header's name and value.
_SEPARATOR_BYTES: Final = len(': \r\n')
#: Time to read bytes that wait in the socket, in seconds.
_UNREAD_S: Final = 0.05


async def read_limited_body(
    request: web.Request,
    limits: Limits,
) -> Result[bytes, Problem]:
    """Return a request's body, or the limit that the request exceeds."""
    head = _check_head(request, limits)
    if isinstance(head, Failure):
        return head
    return await _read_body(request, limits)


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
) -> Result[bytes, Problem]:
    """Read a whole body within the limits on its size and idle time."""
    body = bytearray()
    try:
        while piece := await _read_piece(request, limits.idle_timeout_s):
            body += piece
            if len(body) > limits.body_bytes:
                message = f'the body has more than {limits.body_bytes} bytes'
                return Failure(Problem(ErrorKind.TOO_LARGE, message))
    except TimeoutError:
        message = f'no body bytes received for {limits.idle_timeout_s} s'
        return Failure(Problem(ErrorKind.REQUEST_TIMEOUT, message))
    return Success(bytes(body))


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
