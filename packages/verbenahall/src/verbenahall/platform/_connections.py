"""Connections to endpoints and to the store, through the HTTP library.

The library takes whatever comes next on a connection for the answer to its
last request, and an answer without a length for whole however it ended.
Endpoints may send a late second answer, and connections may be reset, so
both are checked here, below the library's own reading.
"""

import asyncio
import re
import socket
from typing import Any, Final, final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest

from verbenahall import metrics
from verbenahall.platform import _names as names

#: Unanswered probes show a silent connection after two to three seconds,
#: within the time for which callers wait for an event.
_PROBE_AFTER_S: Final = 1
_PROBE_EVERY_S: Final = 1
_PROBES: Final = 2
#: Longest time for bytes to be acknowledged, in milliseconds. A machine
#: without power acknowledges nothing and resets nothing.
_UNACKNOWLEDGED_MS: Final = 1500
#: Longest time for a connection. Inside of a region one is there within some
#: milliseconds; a lost first packet would be sent again after a second, and
#: another endpoint answers sooner than that.
CONNECT_S: Final = 0.4
#: Idle time after which a connection is not used again when the endpoint
#: names none, and the margin before the time that it names, in seconds. A
#: request that crosses the endpoint's close may or may not have run.
_IDLE_S: Final = 4.0
_IDLE_MARGIN_S: Final = 0.5
#: Every way in which a call may end without a whole answer.
CALL_FAILURES: Final = (aiohttp.ClientError, OSError, TimeoutError)
#: Of these, the ones by which nothing has left this instance.
CONNECT_FAILURES: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_HEAD_END: Final = b'\r\n\r\n'
_KEEP_ALIVE: Final = re.compile(r'timeout\s*=\s*(\d+)', re.ASCII)


@final
class EndpointConnection(ResponseHandler):
    """One connection; passes on only the answer to the request just sent."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop=loop)
        self.expected = ''
        self._idle_since = float('inf')
        self._idle_limit_s = _IDLE_S

    def is_connected(self) -> bool:
        """Whether the next request may be sent on this connection."""
        idle_s = self._loop.time() - self._idle_since
        return super().is_connected() and idle_s < self._idle_limit_s

    def expect(self, request: str) -> None:
        """Take only the answer to this request from now on."""
        self.expected = request
        self._idle_since = float('inf')

    async def read(self) -> Any:
        """Return the next answer that belongs to the expected request.

        An endpoint may answer twice; the second answer then lies where the
        next one is expected, and a caller would get somebody else's.
        """
        while True:
            message, payload = await super().read()
            named = message.headers.get(names.REQUEST_ID)
            if named in {None, self.expected}:
                break
            metrics.DROPPED_ANSWERS.add('other_request')
            await payload.read()
        self._note_keep_alive(message.headers.get('Keep-Alive', ''))
        payload.on_eof(self._note_idle)
        return message, payload

    def data_received(self, data: bytes) -> None:
        """Keep a whole answer when bytes of no answer come right behind it.

        The library reads such a piece in one go and, at the stray bytes,
        drops what it has read of it. A caller would get an error in place of
        an answer that has run and is here. So the head goes in by itself.
        """
        head, end, rest = data.partition(_HEAD_END)
        if rest and (self._payload is None or self._payload.is_eof()):
            super().data_received(head + end)
            super().data_received(rest)
        else:
            super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection was reset before its end.

        An answer without a length ends with its connection. After a reset
        the library would take what has come for the whole of it.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError('reset'))
        super().connection_lost(exc)

    def _note_keep_alive(self, text: str) -> None:
        found = _KEEP_ALIVE.search(text)
        if found:
            limit = int(found.group(1)) - _IDLE_MARGIN_S
            self._idle_limit_s = max(_IDLE_MARGIN_S, limit)

    def _note_idle(self) -> None:
        self._idle_since = self._loop.time()


@final
class EndpointRequest(ClientRequest):
    """A request that tells its connection which answer to wait for."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Send on a connection that waits for this request's answer."""
        conn.protocol.expect(self.headers.get(names.REQUEST_ID, ''))
        return await super().send(conn)


@final
class _Connector(aiohttp.TCPConnector):
    """Opens checked connections that notice a silent peer."""

    def __init__(self) -> None:
        super().__init__(
            limit=0,
            use_dns_cache=False,
            keepalive_timeout=60,
            socket_factory=_open_socket,
        )
        self._factory = self._make_connection

    def _make_connection(self) -> EndpointConnection:
        return EndpointConnection(self._loop)


def make_session() -> aiohttp.ClientSession:
    """Make the session through which endpoints and the store are called."""
    session = aiohttp.ClientSession(
        connector=_Connector(),
        request_class=EndpointRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'User-Agent',
            'Content-Type',
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
    )
    # The library would send a GET once more by itself when a kept connection
    # closes under it: a second run that no budget has counted, also of calls
    # that may run only once.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    )
    for level, option, setting in options:
        opened.setsockopt(level, option, setting)
    return opened
