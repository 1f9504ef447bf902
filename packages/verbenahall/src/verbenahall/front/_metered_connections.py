"""Connections whose bytes are counted, received as well as unsent ones."""

import asyncio
import contextlib
import io
import socket
from http import HTTPStatus
from typing import Final

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import _ErrInfo

from verbenahall import journal, metrics
from verbenahall.answer_connections import count_unsent
from verbenahall.buffers import (
    BUFFER_FACTOR,
    CROWD_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
)
from verbenahall.front._listener_state import ListenerState
from verbenahall.front._static_answers import BUSY
from verbenahall.memory import Activity, MemoryAccount, Share

#: Requests that are parsed ahead while another one is handled.
_MAX_WAITING: Final = 2
#: Bytes of a head beside what the limit on headers counts: method, version and
#: empty lines before it.
_HEAD_SLACK_BYTES: Final = 1024
#: Bytes that are read and dropped after an error, so that a client that still
#: sends can read the answer.
_MAX_DISCARDED_BYTES: Final = 262_144
#: Bytes of an answer that may lie in the kernel without being counted.
_UNCOUNTED_BYTES: Final = 16_384
#: Interval of the checks whether a client has received an answer, in seconds.
_UNSENT_CHECK_S: Final = 0.5
#: Bytes of chunk framing beyond those of the body from which on the chunks of a
#: body are parsed little by little.
_FRAMING_BYTES: Final = 512
#: Bytes that are parsed at a time where there may be such chunks. Each chunk of
#: a byte takes about a hundred until the request has read it.
_SLICE_BYTES: Final = 1024
#: How often the fields of a head are in memory beside the bytes received: as
#: texts, and in the request that is passed on.
_HEAD_COPIES: Final = 2
_HEAD_END: Final = b'\r\n\r\n'
_CHUNKED: Final = b'chunked'
#: What is left of a body that was dropped.
_DROPPED: Final = b'\0'


class YieldedError(ConnectionError):
    """A request was given up to free memory for others; it has not run."""


class MeteredConnection(web.RequestHandler):
    """A connection that counts what it holds, and yields it if it must.

    Bytes are counted from their arrival until the request to which they belong
    has its answer. So are those that the kernel holds because the connection
    does not read, or because the client does not.
    """

    __slots__ = (
        '_account',
        '_body',
        '_buffer_bytes',
        '_discarded',
        '_framing',
        '_has_failed',
        '_has_sent_ahead',
        '_head_bytes',
        '_is_answered',
        '_is_chunked',
        '_is_closing',
        '_is_paced',
        '_listener',
        '_pacer',
        '_queued_bytes',
        '_share',
        '_unparsed',
        '_unsent_bytes',
        '_unsent_timer',
        'partial_body',
    )

    def __init__(self, manager: web.Server, listener: ListenerState) -> None:
        """Create a connection of a listener."""
        loop = asyncio.get_running_loop()
        super().__init__(manager, loop=loop, **listener.options)
        self._account = listener.account
        self._listener = listener
        self._pacer = listener.pacer
        self._body: StreamReader | None = None
        self._buffer_bytes = BUFFER_FACTOR * CROWD_BUFFER_BYTES
        self._discarded = 0
        self._framing = 0
        self._has_failed = False
        self._has_sent_ahead = False
        self._head_bytes = 0
        self._is_answered = False
        self._is_chunked = False
        self._is_closing = False
        self._is_paced = False
        self._queued_bytes = 0
        self._unparsed = b''
        self._unsent_bytes = 0
        self._unsent_timer: asyncio.TimerHandle | None = None
        #: What a handler has read of a body; it is closed when it must yield.
        self.partial_body: io.BytesIO | None = None
        self._share: Share = self._account.open(self)
        self._max_msg_queue_size = _MAX_WAITING
        self._msg_queue_resume_size = _MAX_WAITING // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=listener.options['auto_decompress'],
            # The parser counts a request whose body came after its handler had
            # begun as one that waits, and would stop with none waiting.
            max_msg_queue_size=_MAX_WAITING + 1,
        )

    @property
    def share(self) -> Share:
        """What the connection holds."""
        return self._share

    @property
    def account(self) -> MemoryAccount:
        """The account in which the connection's bytes are counted."""
        return self._account

    @property
    def decodes(self) -> bool:
        """Whether bodies are decoded by their Content-Encoding."""
        return self._listener.options['auto_decompress']

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way; part of a head may have come."""
        if self.transport is None or self._is_closing:
            return False
        return not (self._is_busy() or self._is_receiving_body())

    @property
    def idle_since(self) -> float:
        """When the last answer ended, or the connection opened."""
        return self._next_keepalive_close_time - self._keepalive_timeout

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enlarge the receive buffer while there are few connections."""
        super().connection_made(transport)
        size = self._listener.buffers.find_size(self._account.connections)
        opened = transport.get_extra_info('socket')
        if opened is None or size == CROWD_BUFFER_BYTES:
            return
        with contextlib.suppress(OSError):  # Short of descriptors.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            self._buffer_bytes = BUFFER_FACTOR * size

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release all that the connection holds."""
        self._unparsed = b''
        self._pacer.remove(self)
        self._account.close(self._share)
        self._stop_unsent_timer()
        if self._is_closing:
            self._is_closing = False
            self._listener.closing -= 1
        super().connection_lost(exc)

    def make_room(self) -> None:
        """Close an idle connection for a new one."""
        self._is_closing = True
        self._listener.closing += 1
        self.force_close()

    def data_received(self, data: bytes) -> None:
        """Count what has arrived, and parse it."""
        if self._has_failed:
            self._discard(len(data))
            return
        size = len(data)
        if size:
            self._count_received(data)
            if self._has_failed:
                return
        if size and self._is_paced:
            self._wait_for_slice(data)
        else:
            self._parse_pieces(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused; called for each piece of a body."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def pause_writing(self) -> None:
        """Count an answer that the client does not read."""
        super().pause_writing()
        if not self._unsent_bytes:
            self._unsent_bytes = SEND_BUFFER_BYTES
            self._account.wait_unread(self._share, SEND_BUFFER_BYTES)

    def resume_writing(self) -> None:
        """Stop counting such an answer."""
        super().resume_writing()
        self.end_unread()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; the request's bytes are released then."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._end_request(request.writer.output_size)

    def yield_memory(self) -> None:
        """Refuse what has not run, or close a connection that reads nothing."""
        match self._share.activity:
            case Activity.UNREAD:
                self._abort()
            case Activity.SENT_AHEAD:
                # The request that runs is answered.
                self._messages.clear()
                self._stop_parsing()
                ahead = self._share.behind - self._queued_bytes
                self._account.release(self._share, max(0, ahead))
                self._pause_transport_reading()
                self.close()
            case _:
                self._refuse_received()

    def count_unsent(self) -> int:
        """Return the number of bytes that the client has not read yet."""
        return count_unsent(self.transport)

    def end_unread(self) -> None:
        """Release what was counted of an answer that the client has read."""
        if self._unsent_bytes:
            self._account.release(self._share, self._unsent_bytes)
            self._unsent_bytes = 0
            self._share.unsent = 0
            self._share.activity = Activity.RUNNING
            self._update_activity()

    def _count_received(self, data: bytes) -> None:
        if self._unsent_bytes and not self._paused:
            # The client goes on, so it has read the last answer.
            self.end_unread()
        if self._is_receiving_body():
            self._count_body(len(data))
            return
        size = len(data)
        copies = _count_copies(data)
        if self._is_busy() and not self._is_answered:
            self._share.behind += size + copies
        self._account.receive(self._share, size, copies)

    def _count_body(self, size: int) -> None:
        if self._messages and self._current_request is not None:
            self._share.behind += size
        elif self._is_answered:
            # The rest of a body that was refused is dropped as it comes.
            return
        self._account.receive(self._share, size)

    def _parse_pieces(self, data: bytes) -> None:
        """Parse what has arrived, chunks piece by piece."""
        size = self._find_piece(data)
        while size < len(data) and self.transport is not None:
            self._parse(data[:size])
            data = data[size:]
            if self._has_failed:
                return
            if self._is_paced:
                self._wait_for_slice(data)
                return
            size = self._find_piece(data)
        self._parse(data)

    def _find_piece(self, data: bytes) -> int:
        """Return how many bytes are parsed at once.

        A second head may be that of a body in chunks, too.
        """
        size = len(data)
        if size <= _SLICE_BYTES:
            return size
        head = -1
        has_chunks = self._is_chunked
        if not self._is_receiving_body():
            head = data.find(_HEAD_END)
            has_chunks = head >= 0 and _CHUNKED in data[:head].lower()
        if has_chunks or data.find(_HEAD_END, head + 1) >= 0:
            return _SLICE_BYTES
        return size

    def _parse(self, data: bytes) -> None:
        """Parse bytes; keep track of the head or body that they end in."""
        body = self._body if self._is_receiving_body() else None
        count = self._request_count
        before = 0 if body is None else body.total_bytes
        web.RequestHandler.data_received(self, data)
        if self._has_failed or self.transport is None:
            return
        count = self._request_count - count
        if count:
            self._track_messages(count, len(data))
        elif body is None:
            self._count_head(len(data))
        elif self._is_chunked:
            self._track_chunks(body, len(data), body.total_bytes - before)
        self._update_activity()

    def _track_messages(self, count: int, size: int) -> None:
        """Note the newest message, which may be an error."""
        self._head_bytes = 0
        self._framing = 0
        self._is_answered = False
        if self._is_paced:
            self._is_paced = False
            self._pacer.remove(self)
        if not self._messages:
            return
        message, body = self._messages[-1]
        self._body = body
        if not isinstance(message, RawRequestMessage):
            self._fail('malformed')
            return
        self._is_chunked = message.chunked
        if count > 1 or len(self._messages) > 1:
            self._share.behind = min(
                self._share.behind + size, self._share.count
            )

    def _update_activity(self) -> None:
        share = self._share
        if share.activity is Activity.UNREAD:
            return
        if share.behind and self._is_busy():
            share.activity = Activity.SENT_AHEAD
        elif self._is_busy() and not self._is_receiving_body():
            share.activity = Activity.RUNNING
            self._release_queued()
        else:
            share.activity = Activity.RECEIVING
            if share.count:
                self._hold_queued()

    def _is_busy(self) -> bool:
        """Whether a request was read that has no whole answer yet."""
        return bool(self._request_count) and (
            self._waiter is None or self._waiter.done()
        )

    def _is_receiving_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _count_head(self, size: int) -> None:
        """Refuse a head that is longer than it may be before it is whole."""
        if self._buffer_paused or self._upgraded:
            return
        self._head_bytes += size
        limit = self._listener.read_limits().head_bytes
        if self._head_bytes <= limit + _HEAD_SLACK_BYTES:
            return
        error = _ErrInfo(
            HTTPStatus.BAD_REQUEST, LineTooLong(b'', limit), 'long head'
        )
        # The body never ends, so that the client has time to read the answer.
        body = StreamReader(self, self._read_bufsize, loop=self._loop)
        self._messages.append((error, body))
        self._request_count += 1
        self._fail('head')
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count_trailer(self, size: int) -> None:
        """Bound what comes without a byte of the body, as a head is bounded.

        The trailer of a body in chunks, or a chunk's extension, may be endless.
        """
        self._head_bytes += size
        limit = self._listener.read_limits().head_bytes
        if self._head_bytes > limit + _HEAD_SLACK_BYTES:
            metrics.CLIENT_LIMITS.add('trailer')
            journal.write_decision('client_refused', limit='trailer')
            self._refuse_received()

    def _fail(self, limit: str) -> None:
        """Parse nothing more after the error that waits to be answered.

        Its traceback refers to what was received.
        """
        message, _ = self._messages[-1]
        message.exc.with_traceback(None)
        message.exc.__context__ = None
        metrics.CLIENT_LIMITS.add(limit)
        journal.write_decision('client_refused', limit=limit)
        self._stop_parsing()
        self._account.finish(self._share)

    def _stop_parsing(self) -> None:
        self._has_failed = True
        self._parser = None
        self._body = None
        self._unparsed = b''
        self._pacer.remove(self)

    def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > _MAX_DISCARDED_BYTES:
            self._abort()

    def _refuse_received(self) -> None:
        """Refuse the request that is received, which has not run."""
        body = self._body if self._is_receiving_body() else None
        if body is not None and self._is_busy() and not self._is_answered:
            self._lingering_time = 0
            self._stop_parsing()
            self._drop_body(body)
            return
        self._stop_parsing()
        if self.transport is not None:
            if body is None:
                self.transport.write(BUSY)
            self.force_close()

    def _drop_body(self, body: StreamReader) -> None:
        """Release a body now: its reader may run only after other reads.

        A reader that was woken before takes what is left, a single byte, and
        finds the error at its next read. Without that byte it would wait.
        """
        body._buffer.clear()  # noqa: SLF001, WPS437
        body._buffer.append(_DROPPED)  # noqa: SLF001, WPS437
        body._buffer_offset = 0  # noqa: SLF001, WPS437
        body._size = len(_DROPPED)  # noqa: SLF001, WPS437
        body.set_exception(YieldedError('the memory is needed by others'))
        if self.partial_body is not None:
            self.partial_body.close()
        self._account.finish(self._share)

    def _abort(self) -> None:
        self._has_failed = True
        if self.transport is not None:
            self.transport.abort()

    def _track_chunks(self, body: StreamReader, size: int, count: int) -> None:
        """Bound what comes beside the bytes of a body.

        Of ``size`` bytes received, ``count`` belong to the body itself.
        """
        if count:
            self._head_bytes = 0
            self._count_framing(body, max(0, size - count))
        else:
            self._count_trailer(size)

    def _count_framing(self, body: StreamReader, size: int) -> None:
        """Parse a body in very small chunks little by little from now on."""
        self._framing += size
        if self._is_paced:
            self._account.release(self._share, size)
        elif self._framing > _FRAMING_BYTES + body.total_bytes:
            self._is_paced = True
            self._pacer.add(self)
            metrics.CLIENT_LIMITS.add('chunks')
            journal.write_decision('client_paced', limit='chunks')
            self._account.release(self._share, self._framing)

    def _wait_for_slice(self, data: bytes) -> None:
        """Keep what has arrived until the event loop has time for it."""
        is_waiting = bool(self._unparsed)
        self._unparsed += data
        if self._unparsed and not is_waiting:
            self._pause_transport_reading()
            self._loop.call_soon(self._parse_slice)

    def _parse_slice(self) -> None:
        """Parse a part of what waits, and the rest after a pause."""
        if not self._unparsed or self.transport is None:
            return
        started = self._loop.time()
        if not self._reading_paused:
            piece = self._unparsed[: self._find_piece(self._unparsed)]
            self._unparsed = self._unparsed[len(piece) :]
            self._parse(piece)
        if not self._unparsed:
            self._is_paced = self._is_receiving_body()
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()
            return
        pause_s = self._pacer.find_pause_s(self._loop.time() - started)
        self._loop.call_later(pause_s, self._parse_slice)

    def _end_request(self, sent: int) -> None:
        """Release what a request held that has its answer."""
        share = self._share
        self._is_answered = not self._messages
        left = 0 if self._has_failed else share.behind
        if not left:
            self._queued_bytes = 0
        self._account.finish(share, left)
        if len(self._messages) <= 1 and not self._buffer_paused:
            share.behind = 0
        if sent > _UNCOUNTED_BYTES and not self._has_failed:
            self._unsent_bytes = min(sent, SEND_BUFFER_BYTES)
            self._account.wait_unread(share, self._unsent_bytes)
            self._check_unsent()
        else:
            self._update_activity()

    def _check_unsent(self) -> None:
        """Release a whole answer once the client has received it."""
        self._stop_unsent_timer()
        if not self._unsent_bytes or self.transport is None:
            return
        if self.count_unsent():
            self._unsent_timer = self._loop.call_later(
                _UNSENT_CHECK_S, self._check_unsent
            )
        else:
            self.end_unread()

    def _stop_unsent_timer(self) -> None:
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
            self._unsent_timer = None

    def _pause_reading_for_buffer(self) -> None:
        """Stop reading: more requests were sent ahead than may wait."""
        if not self._queued_bytes:
            self._share.behind += self._buffer_bytes
        if not self._has_sent_ahead:
            self._has_sent_ahead = True
            metrics.CLIENT_LIMITS.add('sent_ahead')
            journal.write_decision('client_paced', limit='sent_ahead')
        super()._pause_reading_for_buffer()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        self._hold_queued()

    def _resume_transport_reading(self) -> None:
        if self._unparsed:
            return
        if not self._is_receiving_body():
            self._release_queued()
        super()._resume_transport_reading()

    def _hold_queued(self) -> None:
        """Count what the kernel holds while more is sent than was read."""
        if not self._queued_bytes:
            self._queued_bytes = self._buffer_bytes
            self._account.hold(self._share, self._queued_bytes)

    def _release_queued(self) -> None:
        if self._queued_bytes:
            self._account.release(self._share, self._queued_bytes)
            self._queued_bytes = 0


def _count_copies(data: bytes) -> int:
    """Return how many bytes the copies of a long head take beside it."""
    size = len(data)
    if size <= _SLICE_BYTES:
        return 0
    end = data.find(_HEAD_END)
    if end >= 0:
        size = end
    return _HEAD_COPIES * size
