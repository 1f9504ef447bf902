"""Forwards an engine's stream to the caller, across resumed attempts."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics, wire
from verbenahall.clock import Clock
from verbenahall.errors import Problem
from verbenahall.front._answers import REQUEST_ID_HEADER, build_error_body
from verbenahall.front._engines import OpenStream, StreamBrokenError
from verbenahall.requests import Broken, Outcome, StreamState, process_chunk

_HEADERS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'Content-Type': 'text/event-stream; charset=utf-8',
        'Cache-Control': 'no-cache',
    },
)
#: Bytes of one event at most.
_MAX_EVENT_BYTES: Final = 1_048_576
_EVENT_END: Final = b'\n\n'
_DONE: Final = b'data: [DONE]\n\n'


def claim_nothing() -> None:
    """Do nothing: no other attempt is open."""


@final
class StreamRelay:
    """The response stream to a caller; it starts with the first token.

    ``claim`` is called before events of a peer are sent.
    """

    __slots__ = (
        '_web_request',
        '_request',
        '_received_at',
        '_clock',
        '_writing_since',
        'claim',
        'response',
    )

    def __init__(
        self,
        web_request: web.Request,
        request: str,
        received_at: float,
        clock: Clock,
    ) -> None:
        """Store the request; nothing is sent yet."""
        self._web_request = web_request
        self._request = request
        self._received_at = received_at
        self._clock = clock
        self._writing_since: float | None = None
        self.claim = claim_nothing
        self.response: web.StreamResponse | None = None

    async def forward(
        self,
        stream: OpenStream,
        state: StreamState,
        claim: Callable[[], None],
    ) -> Result[web.StreamResponse, Outcome]:
        """Forward events to the end marker, or return how the stream failed.

        ``claim`` is called before events or the end marker are sent.
        """
        last_event_at = self._clock()
        while not state.done:
            try:
                chunk = await stream.read()
            except StreamBrokenError as error:
                return Failure(Broken(str(error)))
            if not chunk:
                return Failure(Broken('the stream ended without [DONE]'))
            step = process_chunk(state, chunk)
            if len(state.pending) > _MAX_EVENT_BYTES:
                return Failure(Broken('an event is too long'))
            if step.forwarded:
                claim()
                last_event_at = self._record_timing(last_event_at)
                await self._write(step.forwarded)
            if state.gap:
                return Failure(
                    Broken('a token index is missing from the stream')
                )
        claim()
        return Success(await self._finish())

    async def pass_on(
        self, stream: OpenStream
    ) -> Result[web.StreamResponse, Outcome]:
        """Forward the stream of a peer, which has checked its events.

        ``claim`` is called before events are sent.
        Only whole events are forwarded, so that an error event can follow
        where the stream breaks.
        """
        pending = b''
        try:
            while chunk := await stream.read():
                whole, separator, pending = (pending + chunk).rpartition(
                    _EVENT_END
                )
                if len(pending) > _MAX_EVENT_BYTES:
                    return Failure(Broken('an event is too long'))
                if separator:
                    self.claim()
                    await self._write(whole + separator)
        except StreamBrokenError as error:
            return Failure(Broken(str(error)))
        if pending or self.response is None:
            return Failure(Broken('the stream ended within an event'))
        await self.response.write_eof()
        return Success(self.response)

    async def send_error(self, problem: Problem) -> web.StreamResponse:
        """End the stream with an error event; the answer is incomplete."""
        response = self.response or await self._start_response()
        body = wire.encode(build_error_body(problem))
        await response.write(b'data: %b\n\n' % body)
        await response.write_eof()
        return response

    def abort_if_stalled(self, now: float, max_stall_s: float) -> None:
        """Abort the connection of a caller that has stopped reading.

        Its stream would occupy an engine's slot until the deadline, and a few
        such callers could occupy all slots.
        """
        since = self._writing_since
        if since is None or now - since <= max_stall_s:
            return
        transport = self._web_request.transport
        if transport is not None:
            transport.abort()

    async def _write(self, events: bytes) -> None:
        response = self.response or await self._start_response()
        self._writing_since = self._clock()
        await response.write(events)
        self._writing_since = None

    async def _start_response(self) -> web.StreamResponse:
        self.response = web.StreamResponse(
            headers={**_HEADERS, REQUEST_ID_HEADER: self._request},
        )
        await self.response.prepare(self._web_request)
        return self.response

    async def _finish(self) -> web.StreamResponse:
        response = self.response or await self._start_response()
        await response.write(_DONE)
        await response.write_eof()
        return response

    def _record_timing(self, last_event_at: float) -> float:
        now = self._clock()
        if self.response is None:
            metrics.FIRST_TOKEN_SECONDS.observe(now - self._received_at)
        else:
            metrics.TOKEN_GAP_SECONDS.observe(now - last_event_at)
        return now
