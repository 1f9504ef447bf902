"""The manifest's bounds on what callers send, and how long they take."""

import asyncio
from typing import Final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.catalog import Limits
from verbenahall.errors import ErrorKind, Problem

#: Bytes of a field's line beside its name and its content.
_FIELD_BYTES: Final = len(': \r\n')


async def read_within(
    request: web.Request,
    limits: Limits,
) -> Result[bytes, Problem]:
    """Return the body of a request that keeps to the bounds."""
    head = _check_head(request, limits)
    if isinstance(head, Failure):
        return head
    return await _read_body(request, limits)


def _check_head(request: web.Request, limits: Limits) -> Result[None, Problem]:
    """Hold the whole head against the bound; the library bounds each line."""
    size = len(request.raw_path) + sum(
        len(name) + len(line) + _FIELD_BYTES
        for name, line in request.raw_headers
    )
    if size <= limits.header_bytes:
        return Success(None)
    message = f'the head has more than {limits.header_bytes} bytes'
    return Failure(Problem(ErrorKind.HEADERS_TOO_LARGE, message))


async def _read_body(
    request: web.Request,
    limits: Limits,
) -> Result[bytes, Problem]:
    """Read a whole body within the bounds on its size and its pauses."""
    pieces = bytearray()
    try:
        async with asyncio.timeout(limits.idle_timeout_s) as pause:
            async for piece in request.content.iter_any():
                pieces += piece
                if len(pieces) > limits.body_bytes:
                    message = (
                        f'the body has more than {limits.body_bytes} bytes'
                    )
                    return Failure(Problem(ErrorKind.TOO_LARGE, message))
                now = asyncio.get_running_loop().time()
                pause.reschedule(now + limits.idle_timeout_s)
    except TimeoutError:
        message = f'no more of the body came for {limits.idle_timeout_s} s'
        return Failure(Problem(ErrorKind.REQUEST_TIMEOUT, message))
    return Success(bytes(pieces))
