"""Enforces the manifest's limits on the size and pace of requests."""

from typing import Final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.catalog import Limits
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front import read_request_body

#: Bytes of a header line beside the header's name and value.
_SEPARATOR_BYTES: Final = len(': \r\n')


async def read_limited_body(
    request: web.Request, limits: Limits
) -> Result[bytes, Problem]:
    """Return a request's body, or the limit that the request exceeds."""
    head = _check_head(request, limits)
    if isinstance(head, Failure):
        return head
    return await read_request_body(
        request, limits.body_bytes, limits.idle_timeout_s
    )


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
