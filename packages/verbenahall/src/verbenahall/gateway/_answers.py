"""HTTP responses to callers: for problems and for endpoints' answers."""

import dataclasses
from http import HTTPStatus
from typing import Final, final

from aiohttp import web

from verbenahall import metrics
from verbenahall.buffers import HeldBytes
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.front import build_error_response
from verbenahall.gateway._messages import Answered
from verbenahall.platform import REQUEST_ID

#: Decimals of Retry-After in seconds.
_RETRY_AFTER_DECIMALS: Final = 2
#: Bytes of a body that may be joined with the head.
_JOINED_BYTES: Final = 65_536


@final
class _AnswerResponse(web.Response):
    """A response that drops its body once it was written.

    The server keeps the last response of a connection until the next request.
    """

    held: HeldBytes | None = None

    async def write_eof(self, data: bytes = b'') -> None:
        """Write the body, and release its bytes.

        The library joins a head and what is written after it, so a large body
        would be in memory twice.
        """
        if len(self.body or b'') > _JOINED_BYTES:
            self._payload_writer.send_headers()
        try:
            await super().write_eof(data)
        finally:
            self.body = None
            if self.held is not None:
                self.held.release()


def build_problem_response(problem: Problem, request: str) -> web.Response:
    """Build the response for a problem.

    If the request has certainly not run, its status allows a retry. If it may
    have run, the status never says that it was refused.
    """
    public = _choose_public_kind(problem)
    response = build_error_response(public)
    if request:
        response.headers[REQUEST_ID] = request
    retry_after = public.answer.retry_after_s
    if retry_after is not None and public.answer.ran is Ran.NO:
        # Callers accept fractions of a second; rounding up to a whole second
        # would cost them time that they need for the retry.
        response.headers['Retry-After'] = str(
            round(retry_after, _RETRY_AFTER_DECIMALS)
        )
    else:
        response.headers.popall('Retry-After', None)
    metrics.FAILED_REQUESTS.add(public.kind.value, public.answer.ran.value)
    return response


def build_answer_response(answered: Answered) -> web.Response:
    """Build the response for an endpoint's answer, unchanged."""
    response = _AnswerResponse(
        status=answered.status,
        reason=answered.reason or None,
        headers=answered.headers,
        body=answered.body,
    )
    response.held = answered.held
    return response


def _choose_public_kind(problem: Problem) -> Problem:
    """Change the kind if its status contradicts whether the request ran."""
    answer = problem.answer
    if (
        answer.ran is Ran.NO
        and answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    ):
        return dataclasses.replace(problem, kind=ErrorKind.NO_ENDPOINT)
    if answer.ran is Ran.UNKNOWN and (
        answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
        or answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    ):
        return dataclasses.replace(problem, kind=ErrorKind.OUTCOME_UNKNOWN)
    return problem
