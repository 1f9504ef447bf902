"""HTTP client for the engines' protocol."""

import asyncio
import contextlib
from types import MappingProxyType
from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import metrics, wire
from verbenahall.bodies import read_body, read_held_body
from verbenahall.errors import VerbenahallError
from verbenahall.fleet import Endpoint
from verbenahall.front._endpoints import (
    CLIENT_ERRORS,
    ReportSink,
    Sessions,
    build_headers,
    build_url,
    classify_error,
    classify_status,
    forward_report,
)
from verbenahall.front._messages import Answered, ModelCall
from verbenahall.requests import Broken, Outcome

_JSON: Final = 'application/json'
_CANCEL_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
#: Bytes of an answer that holds no output, such as that to a cancel.
_MAX_ERROR_BYTES: Final = 65_536
_OK: Final = 200
_CANCEL_HEADERS: Final = MappingProxyType({'Content-Type': _JSON})


@final
class StreamBrokenError(VerbenahallError):
    """The connection failed in the middle of a stream."""


@final
class OpenStream:
    """The body of a stream, read in chunks."""

    __slots__ = ('_answer',)

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        """Store the open answer."""
        self._answer = answer

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end of the body."""
        try:
            return await self._answer.content.readany()
        except CLIENT_ERRORS as error:
            raise StreamBrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        self._answer.close()


@final
class EngineAdapter:
    """Sends attempts to engines over HTTP."""

    def __init__(self, sessions: Sessions, reports: ReportSink) -> None:
        """Store the sessions and the receiver of load reports."""
        self._sessions = sessions
        self._reports = reports
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def send(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
    ) -> Result[Answered, Outcome]:
        """Send a request without streaming and return the complete answer."""
        try:
            answer = await self._post(endpoint, attempt, call, remaining_s)
        except CLIENT_ERRORS as error:
            return Failure(classify_error(error))
        try:
            body, held = await read_held_body(answer, self._sessions.budget)
        except CLIENT_ERRORS as error:
            return Failure(Broken(type(error).__name__))
        finally:
            answer.close()
        outcome = classify_status(answer)
        if outcome:
            return Failure(outcome)
        if answer.status == _OK and not _matches_attempt(body, attempt):
            metrics.DROPPED_ANSWERS.add('plain')
            return Failure(Broken('the answer belongs to another attempt'))
        return Success(Answered(answer.status, body, answer.content_type, held))

    async def open_stream(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
        resume_from: int = 0,
    ) -> Result[OpenStream | Answered, Outcome]:
        """Send a streamed request.

        An answer with a status other than 200 is returned as ``Answered``.
        """
        try:
            answer = await self._post(
                endpoint,
                attempt,
                call,
                remaining_s,
                resume_from,
            )
        except CLIENT_ERRORS as error:
            return Failure(classify_error(error))
        outcome = classify_status(answer)
        if outcome:
            answer.close()
            return Failure(outcome)
        if answer.status == _OK:
            return Success(OpenStream(answer))
        with contextlib.closing(answer):
            return await _read_error_answer(answer)

    def cancel(self, endpoint: Endpoint, attempt: str) -> None:
        """Cancel an attempt at the engine, in the background."""
        task = asyncio.create_task(self._cancel(endpoint, attempt))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _post(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
        resume_from: int = 0,
    ) -> aiohttp.ClientResponse:
        session = self._sessions.select(repeatable=call.repeatable)
        body = call.body
        if resume_from:
            body = wire.encode({**call.table, 'resume_from': resume_from})
        headers = build_headers(call.head, attempt, _JSON, remaining_s)
        answer = await session.post(
            build_url(endpoint.address, call.path),
            data=body,
            headers=headers,
            allow_redirects=False,
        )
        forward_report(endpoint, answer.headers, self._reports)
        return answer

    async def _cancel(self, endpoint: Endpoint, attempt: str) -> None:
        try:
            async with self._sessions.pooled.post(
                build_url(endpoint.address, '/cancel'),
                data=wire.encode({'attempt': attempt}),
                headers=_CANCEL_HEADERS,
                timeout=_CANCEL_TIMEOUT,
            ) as answer:
                await read_body(answer, _MAX_ERROR_BYTES)
        except CLIENT_ERRORS:
            # The engine also notices that the connection was closed.
            return


async def _read_error_answer(
    answer: aiohttp.ClientResponse,
) -> Result[OpenStream | Answered, Outcome]:
    try:
        body = await read_body(answer, _MAX_ERROR_BYTES)
    except CLIENT_ERRORS as error:
        return Failure(Broken(type(error).__name__))
    return Success(Answered(answer.status, body, answer.content_type))


def _matches_attempt(body: bytes, attempt: str) -> bool:
    """Whether an answer's body names the given attempt.

    A pooled connection may still deliver the answer of an abandoned attempt.
    Without this check a caller could receive another caller's text.
    """
    if b'"attempt":"%b"' % attempt.encode() in body:
        return True
    match wire.decode_table(body):
        case Success({'attempt': answered_attempt}):
            return answered_attempt == attempt
        case _:
            return False
