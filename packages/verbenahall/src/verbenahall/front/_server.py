"""Creates the application and the client sessions."""

import asyncio
import functools
import socket
from typing import Any, Final, final

from aiohttp import ClientSession, ClientTimeout, DummyCookieJar, web

from verbenahall.answer_connections import AnswerConnection, AnswerConnector
from verbenahall.bodies import BodyTooLargeError
from verbenahall.buffers import DEFAULT_BOUNDS, RECEIVE_BUFFER_BYTES
from verbenahall.config import LimitsConfig
from verbenahall.memory import Bounds

#: Heads that are accepted as the answer to a request, interim ones included.
_MAX_HEADS: Final = 32

#: Time in seconds after which an idle pooled connection is closed.
_IDLE_CONNECTION_S: Final = 15.0


def make_application(limits: LimitsConfig) -> web.Application:
    """Create the application to which an instance adds its routes."""
    return web.Application(client_max_size=limits.body_bytes)


@final
class _Connection(AnswerConnection):
    """A connection that is closed on interim answers without end.

    Heads are not subject to flow control, unlike bodies.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_count = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to the next request."""
        self._head_count = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of an answer."""
        self._head_count += 1
        if self._head_count <= _MAX_HEADS:
            super().feed_data(data, size)
            return
        self.set_exception(BodyTooLargeError('too many answers'))
        if self.transport is not None:
            self.transport.abort()


@final
class _Connector(AnswerConnector):
    """Opens such connections."""

    def __init__(self, bounds: Bounds, **options: Any) -> None:
        super().__init__(bounds, _open_socket, **options)
        self._factory = functools.partial(_Connection, self._loop)


def make_session(
    bounds: Bounds = DEFAULT_BOUNDS, *, single_use: bool = False
) -> ClientSession:
    """Create a client session for calls to endpoints.

    ``bounds`` are those of the bytes that the process may hold.

    With ``single_use`` each call opens a new connection. An endpoint may close
    a pooled connection while a request is being written to it. It is then
    unknown whether the request ran, and a call that must not be repeated would
    fail needlessly.
    """
    keepalive = None if single_use else _IDLE_CONNECTION_S
    return ClientSession(
        connector=_Connector(
            bounds,
            limit=0,
            force_close=single_use,
            keepalive_timeout=keepalive,
            use_dns_cache=False,
        ),
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=('Accept-Encoding', 'User-Agent'),
        timeout=ClientTimeout(total=None, sock_connect=1),
        read_bufsize=2 * RECEIVE_BUFFER_BYTES,
    )


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    # The kernel's own bound is megabytes.
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened
