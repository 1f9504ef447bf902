"""Answers that every stand-in gives in the same shape."""

from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

from verbenahall import wire

#: Only this header says that a request did not run.
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
    """Build the failure of a request that may have started."""
    return build_answer({'error': reason}, HTTPStatus.SERVICE_UNAVAILABLE)


def build_refusal(
    reason: str, status: int = HTTPStatus.SERVICE_UNAVAILABLE
) -> web.Response:
    """Build the refusal of a request that has not started."""
    return build_answer({'error': reason}, status, {NOT_STARTED: '1'})
