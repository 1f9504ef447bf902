"""Writes the streamed answers of the engine stand-in."""

from typing import Final

from aiohttp import web

from verbenahall_standins.actions import reset_connection
from verbenahall_standins.calls import Call, encode_event

_DONE: Final = b'data: [DONE]\n\n'
_UNLIMITED: Final = 1 << 60


class ChunkWriter:
    """Writes the events of one stream and applies its faults.

    Faults may truncate the stream, reset the connection or duplicate events.
    """

    __slots__ = (
        '_answer',
        '_call',
        '_copies',
        '_is_cut',
        '_max_chunks',
        '_request',
        '_reset_after_bytes',
        '_sent',
        '_sent_bytes',
    )

    def __init__(self, request: web.Request, call: Call) -> None:
        """Write to the connection of a request."""
        self._request = request
        self._call = call
        self._answer = web.StreamResponse()
        self._copies = 2 if request.get('duplicate') else 1
        self._max_chunks = request.get('truncate_after_chunks', _UNLIMITED)
        self._reset_after_bytes = request.get('reset_after_bytes', _UNLIMITED)
        self._is_cut = False
        self._sent = 0
        self._sent_bytes = 0

    async def start(self, headers: dict[str, str]) -> None:
        """Send the status line and headers.

        They are held back if the connection is to be reset before any byte.
        """
        self._answer.headers.update(headers)
        self._answer.content_type = 'text/event-stream'
        if self._reset_after_bytes:
            await self._answer.prepare(self._request)

    async def write_until(self, produced: int) -> bool:
        """Write chunks up to ``produced``; return false after a fault."""
        first = self._call.resume_from
        while self._sent < produced:
            if self._sent >= self._max_chunks:
                return False
            event = encode_event(self._call, first + self._sent)
            if not await self._write(event):
                return False
            self._sent += 1
        return True

    async def finish(self, is_whole: bool) -> web.StreamResponse:
        """End the response; the closing event is sent only if ``is_whole``."""
        if self._is_cut:
            return self._answer
        if is_whole and self._sent < self._max_chunks:
            await self._write(_DONE)
        await self._answer.write_eof()
        return self._answer

    async def _write(self, event: bytes) -> bool:
        self._sent_bytes += len(event)
        if self._sent_bytes > self._reset_after_bytes:
            kept = len(event) - self._sent_bytes + self._reset_after_bytes
            if kept > 0:
                await self._answer.write(event[:kept])
            reset_connection(self._request)
            self._is_cut = True
            return False
        await self._answer.write(event * self._copies)
        return True
