"""Connections to endpoints, peers and the store, on which answers arrive."""

import array
import asyncio
import contextlib
import fcntl
import socket
import termios
from collections.abc import Callable
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from verbenahall.buffers import CROWD_BUFFER_BYTES, ReceiveBuffers
from verbenahall.memory import Bounds

#: The statuses of the protocol begin with a digit from 1 to 5, RFC 9110 (15).
_STATUS_CLASSES: Final = range(1, 6)
_CLASS_DIVISOR: Final = 100


class AnswerConnection(ResponseHandler):
    """A connection that passes on only answers that are whole and valid.

    An answer without a length ends when its connection closes. aiohttp would
    take what was received before a reset as the whole answer. So would it what
    was received before a close that left a part of the request unread, which
    resets the connection a moment later.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection without a request."""
        super().__init__(loop=loop)
        self._is_cut = False

    def eof_received(self) -> None:
        """Note whether the other end has closed before the request's end."""
        self._is_cut = count_unsent(self.transport) > 0
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection ended before its end."""
        payload = self._payload
        is_cut = exc is not None or self._is_cut
        if is_cut and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError('reset'))
        super().connection_lost(exc)

    async def read(self) -> Any:
        """Return the next answer; ``ClientPayloadError`` if it is invalid."""
        message, payload = await super().read()
        if message.code // _CLASS_DIVISOR not in _STATUS_CLASSES:
            raise aiohttp.ClientPayloadError(f'status {message.code}')
        return message, payload


class AnswerConnector(aiohttp.TCPConnector):
    """Opens connections with receive buffers that the memory bears.

    Those of many calls at once are small, within ``bounds``: what endpoints
    send arrives before the process can count it.
    """

    def __init__(
        self,
        bounds: Bounds,
        open_socket: Callable[[Any], socket.socket],
        **options: Any,
    ) -> None:
        """Open sockets by ``open_socket``; ``options`` are the library's."""
        self.open_socket = open_socket
        self._buffers = ReceiveBuffers(bounds, 'endpoints')
        super().__init__(socket_factory=self._open, **options)

    def _open(self, address: Any) -> socket.socket:
        opened = self.open_socket(address)
        size = self._buffers.find_size(len(self._acquired))
        if size == CROWD_BUFFER_BYTES:
            with contextlib.suppress(OSError):  # Short of memory.
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        return opened


def count_unsent(transport: asyncio.Transport | None) -> int:
    """Return the number of written bytes that the other end has not received.

    They wait in the transport or in the kernel; 0 if that can't be known.
    """
    if transport is None or transport.is_closing():
        return 0
    queued = array.array('i', (0,))
    opened = transport.get_extra_info('socket')
    try:
        fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        queued[0] = 0
    return transport.get_write_buffer_size() + queued[0]
