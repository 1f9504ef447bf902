"""Callers' connections: how many, how slow, and what malformed HTTP is told."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, final

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from verbenahall import wire
from verbenahall.config import LimitsConfig
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front._answers import (
    Handler,
    answer_problem,
    describe_problem,
    guard,
)

_KEEPALIVE_S: Final = 75.0
#: How long after an answer the library has a look whether the connection is
#: idle, in seconds; how long it may be is then asked for.
_LOOK_S: Final = 1.0
#: How long the rest of a refused body is read, so that its sender can read
#: the answer before the connection is reset.
_LINGER_S: Final = 1.0
_SERVER_ERROR: Final = 500
_CONTINUE: Final = '100-continue'

_Options = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long callers may take, in seconds.

    ``first_request_s`` runs from the start of a connection to its first
    request, ``head_s`` from a head's first bytes to its last, and ``idle_s``
    from an answer to the next request.
    """

    first_request_s: float
    head_s: float
    idle_s: float


@final
class Connection(web.RequestHandler):
    """One caller's connection; it must bring a request within its time.

    A caller that opens connections and sends half a head on each would use
    up all that the instance may hold, with no request to be seen anywhere.
    How long it may take is asked for each time, since operators change it
    while connections are open.
    """

    __slots__ = ('_head_timer', '_read_patience')

    def __init__(
        self,
        manager: web.Server,
        read_patience: Callable[[], Patience],
        options: _Options,
    ) -> None:
        """Serve under a manager; ``options`` are the library's own."""
        loop = asyncio.get_running_loop()
        super().__init__(manager, loop=loop, **options)
        self._read_patience = read_patience
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time within which the first request must arrive."""
        super().connection_made(transport)
        first_s = self._read_patience().first_request_s
        self._loop.call_later(first_s, self._check_begun)

    def data_received(self, data: bytes) -> None:
        """Time a head that does not come at once."""
        super().data_received(data)
        waits = self._waiter is not None and not self._waiter.done()
        if not waits:
            self._stop_head_timer()
        elif self._head_timer is None:
            head_s = self._read_patience().head_s
            self._head_timer = self._loop.call_later(head_s, self.force_close)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the time for a head."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what the library could not read, from the closed list."""
        if request.writer.output_size:
            # Part of an answer is out; anything more would be read as its
            # body. Closing is all that tells the caller.
            raise ConnectionError('an answer has begun already')
        response = answer_problem(_describe(status, exc))
        response.force_close()
        return response

    def _check_begun(self) -> None:
        if not self._request_count:
            self.force_close()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _process_keepalive(self) -> None:
        """Close when idle for as long as is allowed now.

        The library's own time is fixed when the connection opens. A caller
        that keeps to a longer one that came into force since would have its
        next request reset.
        """
        idle_since = self._next_keepalive_close_time - self._keepalive_timeout
        until = idle_since + self._read_patience().idle_s
        if self._loop.time() < until:
            self._keepalive_handle = self._loop.call_at(
                until,
                self._process_keepalive,
            )
        else:
            super()._process_keepalive()


@final
class Refusal(asyncio.Protocol):
    """Answers a connection beyond the bound, and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the whole answer at once."""
        transport.write(_FULL)
        transport.close()


class Runner(web.AppRunner):
    """Runs an application within the limits on callers' connections.

    Handlers are cancelled when their caller goes away, which is how the
    engine's work for nobody gets cancelled.
    """

    def __init__(
        self,
        app: web.Application,
        limits: LimitsConfig,
        read_patience: Callable[[], Patience] | None = None,
        **options: Any,
    ) -> None:
        """Keep the limits; ``options`` go to the library's runner.

        ``read_patience`` is asked where operators change it at run time.
        """
        super().__init__(app, handler_cancellation=True, **options)
        self._manager: web.Server | None = None
        self._limits = limits
        within_s = limits.body_timeout_s
        fixed = Patience(within_s, head_s=within_s, idle_s=_KEEPALIVE_S)
        self._read_patience = read_patience or (lambda: fixed)
        self._options: _Options = MappingProxyType(
            {
                'access_log': None,
                'keepalive_timeout': _LOOK_S,
                'lingering_time': _LINGER_S,
                'max_line_size': limits.header_bytes,
                'max_field_size': limits.header_bytes,
            },
        )

    @property
    def server(self) -> Any:
        """What makes a protocol for each new connection."""
        return self._manager and self._connect

    async def _make_server(self) -> web.Server:
        """Make the library's server with the guard around its application.

        Outside of it, since the library also raises before any route or
        middleware runs.
        """
        manager = await super()._make_server()
        manager.request_handler = functools.partial(
            guard,
            functools.partial(_check_expectation, manager.request_handler),
        )
        self._manager = manager
        return manager

    def _connect(self) -> asyncio.Protocol:
        manager = self._manager
        if len(manager.connections) >= self._limits.connections:
            return Refusal()
        return Connection(manager, self._read_patience, self._options)


async def _check_expectation(
    handler: Handler,
    request: web.Request,
) -> web.StreamResponse:
    """Refuse what is expected beyond the standard, before the library.

    Its own refusal repeats the caller's bytes, and fails where they are not
    text.
    """
    expected = request.headers.get('Expect', _CONTINUE)
    if expected.lower() != _CONTINUE:
        message = 'only 100-continue may be expected'
        return answer_problem(Problem(ErrorKind.BAD_REQUEST, message))
    return await handler(request)


def _describe(status: int, error: BaseException | None) -> Problem:
    if isinstance(error, LineTooLong):
        message = 'a line of the head is too long'
        return Problem(ErrorKind.HEADERS_TOO_LARGE, message)
    if status < _SERVER_ERROR:
        return Problem(ErrorKind.BAD_REQUEST, 'the request is not HTTP')
    return Problem(ErrorKind.INTERNAL, 'the instance failed')


def _render_full() -> bytes:
    problem = Problem(ErrorKind.OVERLOADED, 'too many connections')
    body = wire.encode(describe_problem(problem))
    head = (
        'HTTP/1.1 429 Too Many Requests\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n'
        'Retry-After: 1\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


_FULL: Final = _render_full()
