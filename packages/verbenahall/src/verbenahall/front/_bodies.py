"""Reads the bodies of requests within the account of the process."""

import asyncio
import contextlib
import io
from typing import Final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.front._metered_connections import (
    MeteredConnection,
    YieldedError,
)
from verbenahall.memory import SMALL_BYTES

#: Time to read bytes that wait in the socket, in seconds.
_UNREAD_S: Final = 0.05
#: When a request may come back whose body does not fit into what the instance
#: holds, in seconds: most bodies are passed on within this time.
_BUSY_RETRY_AFTER_S: Final = 0.5


async def read_request_body(
    request: web.BaseRequest, max_bytes: int, idle_timeout_s: float
) -> Result[bytes, Problem]:
    """Return a request's body, or the limit that the request exceeds.

    A large body is refused at once if there is no room for all of it. One that
    yields to faster ones is refused, too.
    """
    if not request.body_exists:
        return Success(b'')
    if (request.content_length or 0) > max_bytes:
        return Failure(_make_length_problem(max_bytes))
    try:
        return await _read(request, max_bytes, idle_timeout_s)
    except TimeoutError:
        message = f'no body bytes received for {idle_timeout_s} s'
        return Failure(Problem(ErrorKind.REQUEST_TIMEOUT, message))
    except YieldedError as error:
        # The body keeps the error, which keeps the frames that raised it.
        error.with_traceback(None)
        message = 'the body came too slowly while others needed its memory'
        return Failure(Problem(ErrorKind.REQUEST_TIMEOUT, message, Ran.NO))


async def _read(
    request: web.BaseRequest, max_bytes: int, idle_timeout_s: float
) -> Result[bytes, Problem]:
    body = io.BytesIO()
    connection = request.protocol
    if not isinstance(connection, MeteredConnection):
        return await _read_into(body, request, max_bytes, idle_timeout_s)
    connection.partial_body = body
    try:
        return await _read_into(body, request, max_bytes, idle_timeout_s)
    finally:
        connection.partial_body = None


async def _read_into(
    body: io.BytesIO,
    request: web.BaseRequest,
    max_bytes: int,
    idle_timeout_s: float,
) -> Result[bytes, Problem]:
    size = 0
    while piece := await _read_piece(request, idle_timeout_s):
        if body.closed:
            raise YieldedError('the body was dropped')
        size += len(piece)
        problem = _check_size(request, size, len(piece), max_bytes)
        if problem is not None:
            return Failure(problem)
        if size == len(piece) and request.content.at_eof():
            return Success(piece)
        body.write(piece)
    return Success(body.getvalue())


def _check_size(
    request: web.BaseRequest, size: int, count: int, max_bytes: int
) -> Problem | None:
    """Return why a body is refused of which ``size`` bytes have come.

    The last ``count`` of them have just come.
    """
    if _is_decoded(request):
        # The connection has counted the encoded bytes only.
        connection = request.protocol
        connection.account.hold(connection.share, count)
    if size > max_bytes:
        return _make_length_problem(max_bytes)
    if size > SMALL_BYTES and not _reserve(request, max_bytes):
        return _make_busy_problem()
    return None


def _reserve(request: web.BaseRequest, max_bytes: int) -> bool:
    """Reserve the length of a large body, the longest one if it is unknown."""
    connection = request.protocol
    if not isinstance(connection, MeteredConnection):
        return True
    if connection.share.reserved:
        return True
    length = max_bytes
    if request.content_length and not _is_decoded(request):
        length = request.content_length
    is_reserved = connection.account.reserve(connection.share, length)
    if not is_reserved:
        metrics.CLIENT_LIMITS.add('no_room')
        journal.write_decision('body_refused', limit='no_room', length=length)
    return is_reserved


def _is_decoded(request: web.BaseRequest) -> bool:
    """Whether the body is decoded, and so longer than what is received."""
    connection = request.protocol
    return (
        'Content-Encoding' in request.headers
        and isinstance(connection, MeteredConnection)
        and connection.decodes
    )


async def _read_piece(request: web.BaseRequest, idle_timeout_s: float) -> bytes:
    """Return the next bytes of a body, none at its end.

    Raises ``TimeoutError`` after the timeout. After a pause of the process
    timers run before reads, so bytes may wait in the socket at that time.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(idle_timeout_s):
            return await request.content.readany()
    async with asyncio.timeout(_UNREAD_S):
        return await request.content.readany()


def _make_length_problem(max_bytes: int) -> Problem:
    message = f'the body has more than {max_bytes} bytes'
    return Problem(ErrorKind.TOO_LARGE, message)


def _make_busy_problem() -> Problem:
    return Problem(
        ErrorKind.OVERLOADED,
        'the instance holds too many bytes of other requests',
        Ran.NO,
        retry_after_s=_BUSY_RETRY_AFTER_S,
    )
