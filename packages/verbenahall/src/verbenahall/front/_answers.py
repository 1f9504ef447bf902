"""The one place that turns a problem into an HTTP answer."""

import math
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from absl import logging
from aiohttp import web

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem, ProblemError

_JSON: Final = 'application/json'
#: Answers a request, or raises.
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
REQUEST_ID: Final = 'X-Request-Id'

#: Errors that the HTTP library raises by itself, by status.
_KINDS: Final[Mapping[int, ErrorKind]] = MappingProxyType(
    {
        404: ErrorKind.NOT_FOUND,
        405: ErrorKind.METHOD_NOT_ALLOWED,
        413: ErrorKind.TOO_LARGE,
        431: ErrorKind.HEADERS_TOO_LARGE,
    },
)
#: After these the rest of the request is still on its way; the connection
#: is closed, or its bytes would be read as the next request.
_CLOSING: Final = frozenset(
    (ErrorKind.TOO_LARGE, ErrorKind.REQUEST_TIMEOUT),
)


def describe_problem(problem: Problem) -> dict[str, Any]:
    """Return the error body, alike in answers and in streams."""
    answer = problem.answer
    return {
        'error': {
            'kind': problem.kind.value,
            'message': problem.message,
            'ran': answer.ran.value,
            'retry_after_s': answer.retry_after_s,
        },
    }


def answer_problem(problem: Problem, request: str = '') -> web.Response:
    """Build the answer that a caller gets for a problem."""
    answer = problem.answer
    headers = {REQUEST_ID: request} if request else {}
    if answer.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(answer.retry_after_s)))
    response = web.Response(
        status=answer.status,
        body=wire.encode(describe_problem(problem)),
        content_type=_JSON,
        headers=headers,
    )
    if problem.kind in _CLOSING:
        response.force_close()
    return response


async def guard(
    handler: Handler,
    request: web.Request,
) -> web.StreamResponse:
    """Answer whatever a handler raises from the closed list of kinds."""
    try:
        return await handler(request)
    except ProblemError as error:
        return answer_problem(error.problem)
    except web.HTTPException as error:
        return _answer_library_error(error)
    except Exception as error:
        if isinstance(error, ConnectionError):
            raise
        logging.exception('a request failed in our own code')
        return answer_problem(
            Problem(ErrorKind.INTERNAL, 'the instance failed'),
        )


def _answer_library_error(error: web.HTTPException) -> web.Response:
    kind = _KINDS.get(error.status, ErrorKind.BAD_REQUEST)
    response = answer_problem(Problem(kind, error.reason))
    if isinstance(error, web.HTTPMethodNotAllowed):
        response.headers['Allow'] = ', '.join(sorted(error.allowed_methods))
    return response
