"""Relays the events of a stream to the caller, over several engines."""

import asyncio
from collections.abc import Callable
from typing import final

from aiohttp import ClientPayloadError, ClientResponse, web

from verbenahall import metrics
from verbenahall.clock import Clock
from verbenahall.forwarding import VERSION_HEADER
from verbenahall.gateway._events import EventReader, EventState
from verbenahall.gateway._messages import Call, StreamTiming
from verbenahall.hedging import Branch, Stage
from verbenahall.platform import strip_answer_headers


@final
class EventRelay:
    """Relays complete events; the headers are those of the first engine.

    A stream that ends early must not look complete, so it is aborted: the
    caller's connection is closed without the final chunk. ``event_count`` and
    ``last_event_at`` are those of all engines so far, the time None before the
    first event.
    """

    __slots__ = (
        'event_count',
        'last_event_at',
        'state',
        '_request',
        '_call',
        '_clock',
        '_response',
    )

    def __init__(self, request: web.Request, call: Call, now: Clock) -> None:
        """Store the arguments; nothing is sent yet."""
        self.event_count = 0
        self.last_event_at: float | None = None
        self.state = EventState(call.head.last_event)
        self._request = request
        self._call = call
        self._clock = now
        self._response: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """Whether part of the answer was sent to the caller."""
        return self._response is not None

    async def pump(
        self,
        response: ClientResponse,
        branch: Branch,
        record_first_event: Callable[[], object],
        record_response: Callable[[], object],
    ) -> StreamTiming:
        """Relay an engine's stream to its end; return its timing.

        ``branch`` is ended by the first event of another one. At the engine's
        first new event ``record_first_event`` is called, and
        ``record_response`` whenever bytes arrive. Raises ``TimeoutError`` at
        the deadline, ``ClientPayloadError`` when the stream ends inside an
        event, and other errors when the connection breaks.
        """
        timing = StreamTiming()
        reader = EventReader(self.state)
        while True:
            piece = await self._read(response)
            if not piece:
                break
            branch.check()
            record_response()
            step = reader.feed(piece)
            if step.events:
                branch.enter(Stage.ANSWERING)
                if not timing.events:
                    record_first_event()
                self._record_timing(timing, step.events)
                # A caller that reads slowly is no silence of the engine.
                branch.expect_progress(None)
                await self._write(response, step.data)
                record_response()
        if reader.partial:
            raise ClientPayloadError('the stream ended inside an event')
        return timing

    async def finish(self) -> web.StreamResponse | None:
        """End the answer normally; None when nothing was sent yet."""
        if self._response is not None:
            await self._response.write_eof()
        return self._response

    def abort_stream(self) -> web.StreamResponse | None:
        """Close the caller's connection; None when nothing was sent yet."""
        transport = self._request.transport
        if self._response is not None and transport is not None:
            transport.abort()
        return self._response

    async def _read(self, response: ClientResponse) -> bytes:
        async with asyncio.timeout(self._call.left_s(self._clock())):
            return await response.content.readany()

    def _record_timing(self, timing: StreamTiming, events: int) -> None:
        now = self._clock()
        self.event_count += events
        self.last_event_at = now
        pause = timing.record(events, now)
        if pause is None and self._response is None:
            metrics.FIRST_TOKEN_SECONDS.observe(now - self._call.received)
        elif pause is not None:
            metrics.TOKEN_GAP_SECONDS.observe(pause)

    async def _write(
        self,
        response: ClientResponse,
        data: bytes,
    ) -> None:
        if self._response is None:
            headers = strip_answer_headers(
                response.status, response.raw_headers
            )
            headers.popall(VERSION_HEADER, None)
            if self._call.hop is not None:
                headers[VERSION_HEADER] = self.state.version or ''
            self._response = web.StreamResponse(
                status=response.status,
                reason=response.reason,
                headers=headers,
            )
            await self._response.prepare(self._request)
        await self._write_before_deadline(self._response, data)

    async def _write_before_deadline(
        self,
        response: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Write to the caller, at most until the request's deadline.

        Without the bound, a caller that has stopped reading would occupy an
        engine for as long as it keeps its connection open.
        """
        left_s = self._call.left_s(self._clock())
        try:
            await asyncio.wait_for(response.write(data), left_s)
        except TimeoutError as error:
            raise ConnectionResetError(
                'the caller has stopped reading'
            ) from error
