"""The engines' protocol; nothing else speaks it for callers' requests."""

import asyncio
from types import MappingProxyType
from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import metrics, wire
from verbenahall.errors import VerbenahallError
from verbenahall.fleet import Endpoint
from verbenahall.front._endpoints import (
    CLIENT_ERRORS,
    ReportSink,
    Sessions,
    build_headers,
    build_url,
    judge_error,
    judge_status,
    take_report,
)
from verbenahall.front._messages import Answered, ModelCall
from verbenahall.requests import Broken, Outcome

_JSON: Final = 'application/json'
_CANCEL_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_OK: Final = 200
_CANCEL_HEADERS: Final = MappingProxyType({'Content-Type': _JSON})


@final
class StreamBrokenError(VerbenahallError):
    """The connection failed inside a stream."""


@final
class OpenStream:
    """The body of a stream, read piece by piece."""

    __slots__ = ('_answer',)

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        """Keep the open answer."""
        self._answer = answer

    async def read(self) -> bytes:
        """Return what has arrived; empty at the end of the body."""
        try:
            return await self._answer.content.readany()
        except CLIENT_ERRORS as error:
            raise StreamBrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Give the connection up unless the body was read to its end."""
        self._answer.close()


@final
class EngineAdapter:
    """Sends attempts to engines over HTTP."""

    def __init__(self, sessions: Sessions, reports: ReportSink) -> None:
        """Keep the sessions, and where load reports go."""
        self._sessions = sessions
        self._reports = reports
        self._cancels: set[asyncio.Task[None]] = set()

    async def send(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
    ) -> Result[Answered, Outcome]:
        """Send a plain request and return its whole answer."""
        try:
            answer = await self._post(endpoint, attempt, call, remaining_s)
        except CLIENT_ERRORS as error:
            return Failure(judge_error(error))
        try:
            body = await answer.read()
        except CLIENT_ERRORS as error:
            return Failure(Broken(type(error).__name__))
        finally:
            answer.close()
        failed = judge_status(answer)
        if failed:
            return Failure(failed)
        if answer.status == _OK and not _is_own(body, attempt):
            metrics.DROPPED_ANSWERS.add('plain')
            return Failure(Broken('the answer is of another attempt'))
        return Success(Answered(answer.status, body, answer.content_type))

    async def open_stream(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
        resume_from: int = 0,
    ) -> Result[OpenStream | Answered, Outcome]:
        """Send a streamed request; a plain answer is an error of its own."""
        try:
            answer = await self._post(
                endpoint,
                attempt,
                call,
                remaining_s,
                resume_from,
            )
        except CLIENT_ERRORS as error:
            return Failure(judge_error(error))
        failed = judge_status(answer)
        if failed:
            answer.close()
            return Failure(failed)
        if answer.status == _OK:
            return Success(OpenStream(answer))
        return await _read_refusal(answer)

    def cancel(self, endpoint: Endpoint, attempt: str) -> None:
        """Tell the engine, in the background, to stop work on an attempt."""
        task = asyncio.create_task(self._cancel(endpoint, attempt))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _post(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ModelCall,
        remaining_s: float,
        resume_from: int = 0,
    ) -> aiohttp.ClientResponse:
        session = self._sessions.pick(repeatable=call.repeatable)
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
        take_report(endpoint, answer.headers, self._reports)
        return answer

    async def _cancel(self, endpoint: Endpoint, attempt: str) -> None:
        try:
            await self._sessions.kept.post(
                build_url(endpoint.address, '/cancel'),
                data=wire.encode({'attempt': attempt}),
                headers=_CANCEL_HEADERS,
                timeout=_CANCEL_TIMEOUT,
            )
        except CLIENT_ERRORS:
            # The engine sees the closed connection as well.
            return


async def _read_refusal(
    answer: aiohttp.ClientResponse,
) -> Result[OpenStream | Answered, Outcome]:
    try:
        body = await answer.read()
    except CLIENT_ERRORS as error:
        return Failure(Broken(type(error).__name__))
    return Success(Answered(answer.status, body, answer.content_type))


def _is_own(body: bytes, attempt: str) -> bool:
    """Whether a plain answer names the attempt that it answers.

    A kept connection may carry bytes of an answer that was given up. Taken
    for this request's answer, a caller would read another caller's text.
    """
    if b'"attempt":"%b"' % attempt.encode() in body:
        return True
    match wire.decode_table(body):
        case Success({'attempt': found}):
            return found == attempt
        case _:
            return False
