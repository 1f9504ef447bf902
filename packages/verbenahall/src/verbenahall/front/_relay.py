"""Passes an engine's stream on to the caller, across resumed attempts."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics, wire
from verbenahall.clock import Clock
from verbenahall.errors import Problem
from verbenahall.front._answers import REQUEST_ID, describe_problem
from verbenahall.front._engines import OpenStream, StreamBrokenError
from verbenahall.requests import Broken, Outcome, StreamState, feed

_HEADERS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'Content-Type': 'text/event-stream; charset=utf-8',
        'Cache-Control': 'no-cache',
    },
)
_DONE: Final = b'data: [DONE]\n\n'


@final
class Relay:
    """The caller's side of a stream; it begins with the first token."""

    __slots__ = (
        '_web',
        '_request',
        '_received',
        '_clock',
        '_writing_since',
        'response',
    )

    def __init__(
        self,
        web_request: web.Request,
        request: str,
        received: float,
        clock: Clock,
    ) -> None:
        """Keep the request; nothing is sent yet."""
        self._web = web_request
        self._request = request
        self._received = received
        self._clock = clock
        self._writing_since: float | None = None
        self.response: web.StreamResponse | None = None

    async def pump(
        self,
        stream: OpenStream,
        state: StreamState,
    ) -> Result[web.StreamResponse, Outcome]:
        """Pass events on until the end mark, or say how the stream broke."""
        last = self._clock()
        while not state.done:
            try:
                piece = await stream.read()
            except StreamBrokenError as error:
                return Failure(Broken(str(error)))
            if not piece:
                return Failure(Broken('the stream ended without its mark'))
            step = feed(state, piece)
            if step.passed:
                last = self._time(last)
                response = self.response or await self._begin()
                self._writing_since = last
                await response.write(step.passed)
                self._writing_since = None
            if state.gap:
                return Failure(Broken('a token is missing'))
        return Success(await self._finish())

    async def fail(self, problem: Problem) -> web.StreamResponse:
        """Tell a caller who has part of the answer that it ends early."""
        response = self.response or await self._begin()
        body = wire.encode(describe_problem(problem))
        await response.write(b'data: %b\n\n' % body)
        await response.write_eof()
        return response

    def drop_if_stalled(self, now: float, longest_s: float) -> None:
        """Close the connection of a caller that has stopped reading.

        Its stream would hold an engine's slot until the deadline, and a few
        such callers all slots.
        """
        since = self._writing_since
        if since is None or now - since <= longest_s:
            return
        transport = self._web.transport
        if transport is not None:
            transport.abort()

    async def _begin(self) -> web.StreamResponse:
        self.response = web.StreamResponse(
            headers={**_HEADERS, REQUEST_ID: self._request},
        )
        await self.response.prepare(self._web)
        return self.response

    async def _finish(self) -> web.StreamResponse:
        response = self.response or await self._begin()
        await response.write(_DONE)
        await response.write_eof()
        return response

    def _time(self, last: float) -> float:
        now = self._clock()
        if self.response is None:
            metrics.FIRST_TOKEN_SECONDS.observe(now - self._received)
        else:
            metrics.TOKEN_GAP_SECONDS.observe(now - last)
        return now
