"""JSON answers in the format shared by all stand-ins."""

from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

from verbenahall import wire

#: Header that guarantees that a request was not started. Without it, a failed
#: request may have run.
NOT_STARTED: Final = 'X-Not-Started'


def build_answer(
    body: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> web.Response:
    """Build a JSON answer."""
    return web.Response(
        body=wire.encode(body),
        status=status,
        headers=headers,
        content_type='application/json',
    )


def build_failure(reason: str) -> web.Response:
    """Build a 503 answer to a request that may have started."""
    return build_answer({'error': reason}, HTTPStatus.SERVICE_UNAVAILABLE)


def build_refusal(
    reason: str, status: int = HTTPStatus.SERVICE_UNAVAILABLE
) -> web.Response:
    """Build a refusal, marked as not started by its header."""
    return build_answer({'error': reason}, status, {NOT_STARTED: '1'})
