"""Answers that are written without a request to answer."""

from typing import Final

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front._answers import build_error_body


def _render(message: str) -> bytes:
    """Return the whole answer to a request that has not run."""
    problem = Problem(ErrorKind.OVERLOADED, message)
    body = wire.encode(build_error_body(problem))
    head = (
        'HTTP/1.1 429 Too Many Requests\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n'
        'Retry-After: 1\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


TOO_MANY_CONNECTIONS: Final = _render('too many connections')
BUSY: Final = _render('the memory is needed by other requests')
