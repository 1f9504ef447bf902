"""Converts problems into HTTP error responses."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from absl import logging
from aiohttp import web

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem, ProblemError

_JSON: Final = 'application/json'
#: Returns the response to a request, or raises.
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
REQUEST_ID_HEADER: Final = 'X-Request-Id'

#: Error kinds for the exceptions that aiohttp raises itself, by status.
_KIND_BY_STATUS: Final[Mapping[int, ErrorKind]] = MappingProxyType(
    {
        404: ErrorKind.NOT_FOUND,
        405: ErrorKind.METHOD_NOT_ALLOWED,
        413: ErrorKind.TOO_LARGE,
        431: ErrorKind.HEADERS_TOO_LARGE,
    },
)
#: These errors are returned before the whole request body was received. The
#: connection is closed, since the remaining bytes would otherwise be parsed
#: as the next request.
_CLOSING_KINDS: Final = frozenset(
    (ErrorKind.TOO_LARGE, ErrorKind.REQUEST_TIMEOUT),
)


def build_error_body(problem: Problem) -> dict[str, Any]:
    """Return the error body, which is the same in responses and in streams."""
    answer = problem.answer
    return {
        'error': {
            'kind': problem.kind.value,
            'message': problem.message,
            'ran': answer.ran.value,
            'retry_after_s': answer.retry_after_s,
        },
    }


def build_error_response(problem: Problem, request: str = '') -> web.Response:
    """Build the HTTP response for a problem."""
    answer = problem.answer
    headers = {REQUEST_ID_HEADER: request} if request else {}
    if answer.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(answer.retry_after_s)))
    response = web.Response(
        status=answer.status,
        body=wire.encode(build_error_body(problem)),
        content_type=_JSON,
        headers=headers,
    )
    if problem.kind in _CLOSING_KINDS:
        response.force_close()
    return response


async def handle_errors(
    handler: Handler,
    request: web.Request,
) -> web.StreamResponse:
    """Call a handler and convert every exception into an error response.

    A ``ConnectionError`` is raised again: there is no connection to respond on.
    So is a cancellation, unless only work that the handler awaits is cancelled.
    """
    try:
        return await handler(request)
    except ProblemError as error:
        return build_error_response(error.problem)
    except web.HTTPException as error:
        return _build_library_error(error)
    except (asyncio.CancelledError, Exception) as error:
        if _is_lost(error):
            raise
        logging.exception('unhandled exception in a request handler')
        return build_error_response(
            Problem(ErrorKind.INTERNAL, 'the instance failed'),
        )


def _is_lost(error: BaseException) -> bool:
    """Whether the request whose handler raised an error can't be answered."""
    if isinstance(error, asyncio.CancelledError):
        return bool(asyncio.current_task().cancelling())
    return isinstance(error, ConnectionError)


def _build_library_error(error: web.HTTPException) -> web.Response:
    kind = _KIND_BY_STATUS.get(error.status, ErrorKind.BAD_REQUEST)
    response = build_error_response(Problem(kind, error.reason))
    if isinstance(error, web.HTTPMethodNotAllowed):
        response.headers['Allow'] = ', '.join(sorted(error.allowed_methods))
    return response
