"""Caller connections: their number, timeouts, and errors in malformed HTTP."""

import asyncio
import functools
import heapq
import select
from collections.abc import Callable, Collection
from typing import Any, Final, final

from absl import logging
from aiohttp import hdrs, web
from aiohttp.http_exceptions import LineTooLong

from verbenahall import journal, metrics
from verbenahall.buffers import make_byte_limit
from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front._answers import (
    Handler,
    build_error_response,
    handle_errors,
)
from verbenahall.front._listener_state import ListenerState, ReadLimits
from verbenahall.front._metered_connections import MeteredConnection
from verbenahall.front._static_answers import TOO_MANY_CONNECTIONS
from verbenahall.memory import Bounds, MemoryAccount

_KEEPALIVE_S: Final = 75.0
#: Delay after a response at which aiohttp checks for an idle connection, in
#: seconds. The idle timeout itself is read at that check.
_IDLE_CHECK_S: Final = 1.0
#: Delay after which a timer that found unread bytes checks again, in seconds:
#: by then the event loop has read them.
_UNREAD_CHECK_S: Final = 0.05
#: How long the rest of a rejected body is read, in seconds, so that the caller
#: can read the response before the connection is reset.
_LINGER_S: Final = 1.0
#: Bytes of a body that wait for their handler before reading is paused; twice
#: as many may wait.
_READ_BUFFER_BYTES: Final = 65_536
#: Divisor of the number of connections that gives how many idle ones are closed
#: at a time when all are in use.
_CLOSED_DIVISOR: Final = 64
#: Memory of the process for each connection that a listener may have, in bytes.
#: One with a request that runs, and its call to an endpoint, take a quarter of
#: it beside what was received and sent.
_CONNECTION_MEMORY_BYTES: Final = 262_144
_SERVER_ERROR: Final = 500
_CONTINUE: Final = '100-continue'


@final
class Connection(MeteredConnection):
    """A caller connection with read timeouts for request heads.

    Without them, a caller that sends an incomplete head on each of many
    connections would use up the connection limit without a single request.
    The timeouts are read each time they are needed, since operators change
    them while connections are open. After a pause of the process, timers run
    before reads, so no timer closes a connection with unread bytes.
    """

    __slots__ = ('_first_timer', '_head_timer', '_read_limits')

    def __init__(self, manager: web.Server, listener: ListenerState) -> None:
        """Create a connection of a listener."""
        super().__init__(manager, listener)
        self._read_limits = listener.read_limits
        self._first_timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def has_requested(self) -> bool:
        """Whether the connection has had a request."""
        return bool(self._request_count)

    @property
    def has_waiting_request(self) -> bool:
        """Whether a request was read that is not handled yet."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the first request."""
        super().connection_made(transport)
        self._start_first_timer(self._read_limits().first_request_s)

    def data_received(self, data: bytes) -> None:
        """Start the head timeout when a head arrives only in part."""
        super().data_received(data)
        # The first bytes may arrive before the task that awaits a request runs.
        if self._is_busy():
            self._stop_head_timer()
        elif self._head_timer is None:
            self._start_head_timer(self._read_limits().head_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timeouts, which would keep the connection in memory."""
        self._stop_head_timer()
        if self._first_timer is not None:
            self._first_timer.cancel()
            self._first_timer = None
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Build the response to a request that aiohttp could not parse."""
        if request.writer.output_size:
            # Part of a response was sent, and further bytes would be read as
            # its body. Only closing the connection signals the error.
            raise ConnectionError('the response has already started')
        response = build_error_response(_build_problem(status, exc))
        response.force_close()
        return response

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, or an error if its head cannot be written.

        aiohttp would close the connection without any response. A head that
        was not written may have chosen chunks, which the next one doesn't.
        After a part of another response the connection is closed: bytes of
        this one would be read as those of the other.
        """
        if not resp.prepared:
            if request.writer.output_size:
                return resp, True
            request.writer.chunked = False
        try:
            return await super().finish_response(request, resp, start_time)
        except Exception as error:
            logging.exception('a response could not be sent')
            failed = self.handle_error(request, _SERVER_ERROR, error)
            request.writer.chunked = False
            return await super().finish_response(request, failed, start_time)

    def _start_first_timer(self, delay_s: float) -> None:
        self._first_timer = self._loop.call_later(
            delay_s, self._check_first_request
        )

    def _check_first_request(self) -> None:
        self._first_timer = None
        if self._request_count or self._head_timer is not None:
            return
        if _has_unread_bytes(self.transport):
            self._start_first_timer(_UNREAD_CHECK_S)
        else:
            self.force_close()

    def _start_head_timer(self, delay_s: float) -> None:
        self._head_timer = self._loop.call_later(delay_s, self._end_head)

    def _end_head(self) -> None:
        """Close the connection unless more of the head has arrived."""
        if _has_unread_bytes(self.transport):
            self._start_head_timer(_UNREAD_CHECK_S)
        else:
            self.force_close()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _process_keepalive(self) -> None:
        """Close the connection once it exceeds the current idle timeout.

        The timeout of aiohttp is fixed when the connection opens. If it was
        raised since, a caller relying on the new value would have its next
        request reset. A connection that receives a request is not idle.
        """
        idle_since = self._next_keepalive_close_time - self._keepalive_timeout
        until = idle_since + self._read_limits().idle_s
        now = self._loop.time()
        is_receiving = self._head_timer is not None
        if now >= until and is_receiving:
            self._keepalive_handle = None
        elif now < until or _has_unread_bytes(self.transport):
            self._keepalive_handle = self._loop.call_at(
                max(until, now + _UNREAD_CHECK_S), self._process_keepalive
            )
        else:
            super()._process_keepalive()


@final
class ConnectionRejector(asyncio.Protocol):
    """Sends an error response on a connection over the limit and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the complete error response and close."""
        transport.write(TOO_MANY_CONNECTIONS)
        transport.close()


class Runner(web.AppRunner):
    """Runs an application with limits on caller connections.

    Handlers are cancelled when their caller disconnects, so that the engine's
    work for it is cancelled too.
    """

    def __init__(
        self,
        app: web.Application,
        limits: LimitsConfig,
        read_limits: Callable[[], ReadLimits] | None = None,
        account: MemoryAccount | None = None,
        decompresses: bool = True,
        **options: Any,
    ) -> None:
        """Store the limits; ``options`` are passed to aiohttp's runner.

        With ``decompresses`` the bodies of requests are decoded.
        ``read_limits`` returns the current limits where operators can change
        them at run time; by default they are fixed. ``account`` counts what the
        connections hold, by default one of this runner alone.
        """
        super().__init__(app, handler_cancellation=True, **options)
        self._manager: web.Server | None = None
        memory_bytes = limits.find_memory_bytes()
        self._max_connections = min(
            limits.connections, memory_bytes // _CONNECTION_MEMORY_BYTES
        )
        timeout_s = limits.body_timeout_s
        fixed = ReadLimits(
            timeout_s, timeout_s, _KEEPALIVE_S, limits.header_bytes
        )
        options = {
            'access_log': None,
            'keepalive_timeout': _IDLE_CHECK_S,
            'lingering_time': _LINGER_S,
            'max_line_size': limits.header_bytes,
            'max_field_size': limits.header_bytes,
            'read_bufsize': _READ_BUFFER_BYTES,
            'auto_decompress': decompresses,
        }
        total = make_byte_limit(memory_bytes)
        self._listener = ListenerState(
            account or MemoryAccount(Bounds.from_total(total)),
            read_limits or (lambda: fixed),
            options,
        )

    @property
    def server(self) -> Any:
        """The protocol factory for new connections."""
        return self._manager and self._make_protocol

    async def _make_server(self) -> web.Server:
        """Make aiohttp's server with error handling around the application.

        It can't be a middleware, since aiohttp also raises before any route
        or middleware runs.
        """
        manager = await super()._make_server()
        manager.request_handler = functools.partial(
            handle_errors,
            functools.partial(_check_expectation, manager.request_handler),
        )
        self._manager = manager
        return manager

    def _make_protocol(self) -> asyncio.Protocol:
        connections = self._manager.connections
        count = len(connections) - self._listener.closing
        if count < self._max_connections or self._make_room(connections):
            return Connection(self._manager, self._listener)
        return ConnectionRejector()

    def _make_room(self, connections: Collection[Connection]) -> int:
        """Close idle connections, or slow ones if there are no others."""
        most = max(1, self._max_connections // _CLOSED_DIVISOR)
        shares = (one.share for one in connections)
        return _close_idle(
            connections, most
        ) or self._listener.account.make_room(shares, most)


def _close_idle(connections: Collection[Connection], most: int) -> int:
    """Close the connections that are idle for longest; return their number.

    Those without a request go first. One with unread bytes is not idle.
    """
    idle = heapq.nsmallest(
        most,
        (one for one in connections if one.is_idle),
        key=lambda one: (one.has_requested, one.idle_since),
    )
    closed = [one for one in idle if not _has_unread_bytes(one.transport)]
    for connection in closed:
        connection.make_room()
    if not closed:
        return 0
    metrics.CLIENT_LIMITS.add('idle', count=len(closed))
    journal.write_decision('idle_closed', limit='idle', connections=len(closed))
    return len(closed)


def close_after_response(
    request: web.BaseRequest,
    response: web.StreamResponse,
) -> None:
    """Close the connection after a response, and state that in its head.

    Without the header a caller might reuse its connection as it is closed. A
    connection with a further request stays open: that request was read, and
    would be dropped unanswered.
    """
    connection = request.protocol
    if isinstance(connection, Connection) and connection.has_waiting_request:
        return
    # aiohttp sets its headers before the hooks that call this function, so
    # force_close alone would close the connection without the header.
    response.headers[hdrs.CONNECTION] = 'close'
    response.force_close()


async def _check_expectation(
    handler: Handler,
    request: web.Request,
) -> web.StreamResponse:
    """Reject unknown ``Expect`` headers before aiohttp does.

    The error response of aiohttp repeats the header's bytes, and building it
    fails if they are not valid text.
    """
    expected = request.headers.get('Expect', _CONTINUE)
    if expected.lower() != _CONTINUE:
        message = 'only "Expect: 100-continue" is supported'
        return build_error_response(Problem(ErrorKind.BAD_REQUEST, message))
    return await handler(request)


def _has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the connection's socket holds bytes to be read."""
    if transport is None or transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poller.poll(0))


def stop_lingering(connection: Connection) -> None:
    """Close after the next response without reading the rest of a body."""
    connection._lingering_time = 0  # noqa: SLF001, WPS437


def has_peer_closed(transport: asyncio.Transport | None) -> bool:
    """Return whether the other end has closed a connection.

    The event loop may not have read that yet.
    """
    if transport is None or transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info('socket'), select.POLLRDHUP)
    return bool(poller.poll(0))


def _build_problem(status: int, error: BaseException | None) -> Problem:
    if isinstance(error, LineTooLong):
        message = 'a line of the request head is too long'
        return Problem(ErrorKind.HEADERS_TOO_LARGE, message)
    if status < _SERVER_ERROR:
        return Problem(ErrorKind.BAD_REQUEST, 'the request is not valid HTTP')
    return Problem(ErrorKind.INTERNAL, 'the instance failed')
