"""HTTP connections to endpoints and to the store.

aiohttp treats the next message on a connection as the answer to the last
request, and treats an answer without a length as complete however the
connection ended. Endpoints may send a late second answer or bytes that belong
to no request, and connections may be reset, so this module checks these below
aiohttp's response parsing.
"""

import asyncio
import re
import socket
from collections import deque
from http import HTTPStatus
from typing import Any, Final, final

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.http_parser import RawResponseMessage

from verbenahall import journal, metrics
from verbenahall.answer_connections import AnswerConnection, AnswerConnector
from verbenahall.platform import _names as names
from verbenahall.bodies import BodyTooLargeError
from verbenahall.buffers import DEFAULT_BOUNDS, RECEIVE_BUFFER_BYTES
from verbenahall.memory import Bounds

#: TCP keepalive in seconds: the probes detect a dead connection after two to
#: three seconds, within the time for which callers wait for an event.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
#: TCP_USER_TIMEOUT in milliseconds: the longest time for sent bytes to be
#: acknowledged. A machine that lost power neither acknowledges nor resets; one
#: that is paused acknowledges a retransmission after the pause, which may come
#: up to twice as late as the pause is long.
_USER_TIMEOUT_MS: Final = 2500
#: Timeout for opening a connection, in seconds. Within a region this takes
#: some milliseconds. A lost first packet would be sent again after a second;
#: trying another endpoint is faster.
CONNECT_S: Final = 0.4
#: A connection is not used again after this idle time in seconds, unless the
#: endpoint states a ``Keep-Alive`` timeout, from which the margin is taken
#: off. If the endpoint closes a connection while a request is on its way, the
#: request may or may not have run.
_DEFAULT_IDLE_LIMIT_S: Final = 4.0
_IDLE_MARGIN_S: Final = 0.5
#: All exceptions of a call that ends without a complete answer.
CALL_FAILURES: Final = (aiohttp.ClientError, OSError, TimeoutError)
#: The exceptions among these after which no byte of the request was sent.
CONNECT_FAILURES: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_SWITCHING: Final = HTTPStatus.SWITCHING_PROTOCOLS
#: Statuses of answers that another one follows.
_INTERIM_STATUSES: Final = frozenset(
    range(HTTPStatus.CONTINUE, HTTPStatus.OK)
) - {_SWITCHING}
#: Request ids that are kept for each connection. A request is sent again within
#: its time limit, if at all.
_MAX_SENT_IDS: Final = 64
_HEAD_END: Final = b'\r\n\r\n'
#: Heads of answers that are accepted for one request, those of interim answers
#: and of answers to other requests included.
_MAX_MESSAGES: Final = 32
#: Bytes that are read, and not kept, of an answer to another request.
_MAX_DISCARDED_BYTES: Final = 4_194_304
#: Control characters that aiohttp reads in a head, but doesn't write.
_CONTROLS: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_RAW_CONTROLS: Final = re.compile(_CONTROLS.pattern.encode())
_KEEP_ALIVE: Final = re.compile(r'timeout\s*=\s*(\d+)', re.ASCII)


@final
class EndpointConnection(AnswerConnection):
    """A connection that returns only the answer to the current request."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection that has sent no request yet."""
        super().__init__(loop)
        self.expected_id = ''
        self._has_stray = False
        self._is_endpoint = False
        self._message_count = 0
        self._request_count = 0
        self._sent_ids: deque[str] = deque(maxlen=_MAX_SENT_IDS)
        self._idle_since = float('inf')
        self._idle_limit_s = _DEFAULT_IDLE_LIMIT_S

    def is_connected(self) -> bool:
        """Whether the next request may be sent on this connection."""
        idle_s = self._loop.time() - self._idle_since
        is_usable = not self._has_stray and idle_s < self._idle_limit_s
        return super().is_connected() and is_usable

    def expect(self, request_id: str, *, is_endpoint: bool = False) -> None:
        """Accept only answers to this request id from now on.

        An endpoint states the id in each answer. A peer or the store may answer
        without one.
        """
        self.expected_id = request_id
        self._is_endpoint = is_endpoint
        self._request_count += 1
        self._idle_since = float('inf')
        self._message_count = 0
        if request_id:
            self._sent_ids.append(request_id)

    def has_sent(self, request_id: str) -> bool:
        """Whether a request with this id was sent on this connection."""
        return request_id in self._sent_ids

    async def read(self) -> Any:
        """Return the next answer that belongs to the expected request.

        An endpoint may answer a request twice, or send bytes that belong to no
        request. These would be read as the answer to the next request: another
        caller would get them, or the request would count as refused while it
        runs.
        """
        while True:
            message, payload = await super().read()
            if message.code in _INTERIM_STATUSES:
                continue
            stray = self._find_stray(message)
            if stray is None:
                break
            self._has_stray = True
            self.force_close()
            metrics.DROPPED_ANSWERS.add(stray)
            journal.write_decision(
                'stray_answer',
                request=self.expected_id,
                shape=stray,
                status=message.code,
                used=self._request_count,
            )
            await _discard(payload)
        self._update_idle_limit(message.headers.get('Keep-Alive', ''))
        payload.on_eof(self._mark_idle)
        return _replace_controls(message), payload

    def data_received(self, data: bytes) -> None:
        """Keep a complete answer that is followed by stray bytes.

        aiohttp parses each chunk as a whole. If stray bytes follow an answer
        in the chunk, parsing fails and the answer is lost, so that the caller
        would get an error although the request has run. The headers are
        therefore passed on separately.
        """
        if data and self._idle_since < float('inf'):
            # What arrives between two requests belongs to none.
            self._has_stray = True
            self.force_close()
        if not data:
            # The parser goes on with what it kept while reading was paused.
            super().data_received(data)
        rest = data
        while rest and not self._has_open_body():
            if self.transport is None or self.transport.is_closing():
                return
            head, end, rest = rest.partition(_HEAD_END)
            super().data_received(head + end)
        if rest:
            super().data_received(rest)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of an answer; close on a sender that does not stop.

        Heads are not subject to flow control, unlike bodies.
        """
        self._message_count += 1
        if self._message_count <= _MAX_MESSAGES:
            super().feed_data(data, size)
            return
        self.set_exception(BodyTooLargeError('too many answers'))
        if self.transport is not None:
            self.transport.abort()

    def _find_stray(self, message: RawResponseMessage) -> str | None:
        """Return what kind of stray answer a message is, None if it is none."""
        answered_id = message.headers.get(names.REQUEST_ID)
        if answered_id == self.expected_id or message.code == _SWITCHING:
            return None
        if answered_id is not None:
            return 'other_request'
        return 'no_request' if self.expected_id and self._is_endpoint else None

    def _has_open_body(self) -> bool:
        """Whether the next bytes belong to the body of an answer."""
        return self._payload is not None and not self._payload.is_eof()

    def _update_idle_limit(self, text: str) -> None:
        found = _KEEP_ALIVE.search(text)
        if found:
            limit = int(found.group(1)) - _IDLE_MARGIN_S
            self._idle_limit_s = max(_IDLE_MARGIN_S, limit)

    def _mark_idle(self) -> None:
        self._idle_since = self._loop.time()


async def _discard(payload: aiohttp.StreamReader) -> None:
    """Read the body of another request's answer without keeping it."""
    size = 0
    while piece := await payload.readany():
        size += len(piece)
        if size > _MAX_DISCARDED_BYTES:
            raise BodyTooLargeError('the answer to another request')


def _replace_controls(message: RawResponseMessage) -> RawResponseMessage:
    """Return an answer's head with spaces in place of control characters.

    RFC 9110 (5.5) allows that. Passed on as they are, they would keep the whole
    answer from being written to the caller.
    """
    is_odd = _CONTROLS.search(message.reason) or any(
        _RAW_CONTROLS.search(found) for _, found in message.raw_headers
    )
    if not is_odd:
        return message
    return RawResponseMessage(
        message.version,
        message.code,
        _CONTROLS.sub(' ', message.reason),
        message.headers,
        tuple(
            (name, _RAW_CONTROLS.sub(b' ', found))
            for name, found in message.raw_headers
        ),
        message.should_close,
        message.compression,
        message.upgrade,
        message.chunked,
    )


@final
class EndpointRequest(ClientRequest):
    """A request that sets the request id which its connection expects."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Send the request and make its connection expect its answer."""
        request_id = self.headers.get(names.REQUEST_ID, '')
        # Bytes that are no UTF-8 are not sent.
        sent_id = request_id.encode(errors='ignore').decode()
        is_endpoint = names.EXPECT_ENDPOINT in self.headers
        conn.protocol.expect(sent_id, is_endpoint=is_endpoint)
        return await super().send(conn)


@final
class Connector(AnswerConnector):
    """Opens checked connections with TCP keepalive.

    ``open_socket`` opens the sockets of all connections, also of those that
    only test whether an address accepts any.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Start without connections."""
        super().__init__(
            bounds,
            _open_socket,
            limit=0,
            use_dns_cache=False,
            keepalive_timeout=60,
        )
        self._factory = self._make_connection

    async def connect(
        self, req: ClientRequest, traces: Any, timeout: Any
    ) -> Connection:
        """Return a connection on which the same request was not sent before.

        A late second copy of its first answer would be read as the answer to
        this send: an endpoint states one id in both.
        """
        request_id = req.headers.get(names.REQUEST_ID)
        if request_id:
            idle = self._conns.get(req.connection_key, ())
            for protocol, _ in tuple(idle):
                if protocol.has_sent(request_id):
                    protocol.close()
        return await super().connect(req, traces, timeout)

    async def test(self, address: str, timeout_s: float) -> None:
        """Connect to an address and close the connection again.

        Raises ``OSError``, or ``TimeoutError`` after ``timeout_s`` seconds.
        """
        host, _, port = address.rpartition(':')
        place = (host, int(port))
        kind = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        opened = self.open_socket((*kind, '', place))
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.sock_connect(opened, place)
        finally:
            opened.close()

    def _make_connection(self) -> EndpointConnection:
        return EndpointConnection(self._loop)


def make_session(bounds: Bounds = DEFAULT_BOUNDS) -> aiohttp.ClientSession:
    """Create the session for calls to endpoints and to the store.

    ``bounds`` are those of the bytes that the process may hold.
    """
    session = aiohttp.ClientSession(
        connector=Connector(bounds),
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
        read_bufsize=2 * RECEIVE_BUFFER_BYTES,
    )
    # aiohttp would repeat a GET by itself if a reused connection closes. No
    # retry budget would count this second run, and it would also happen to
    # calls that may run only once.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, setting in options:
        opened.setsockopt(level, option, setting)
    return opened
