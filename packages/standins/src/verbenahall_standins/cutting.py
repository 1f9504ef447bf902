"""An endpoint that answers an upload at once, and cuts the connection."""

import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from typing import Final, final

#: Linger time of zero: closing the socket resets the connection.
_NO_LINGER: Final = struct.pack('ii', 1, 0)
_HEAD_END: Final = b'\r\n\r\n'
_READ_BYTES: Final = 65_536


@final
class CuttingEndpoint:
    """Reads a part of each request, answers, and ends the connection.

    It runs on blocking sockets in threads, so that nothing else reads what it
    leaves unread. ``make_answer`` gets the head of the request. It reads
    ``read_bytes`` of what follows the head. A connection that is not ``reset``
    is closed, which resets it, too, if bytes lie unread in the kernel.
    ``requests`` is the number of requests so far.
    """

    def __init__(
        self,
        make_answer: Callable[[bytes], bytes],
        read_bytes: int,
        *,
        reset: bool,
    ) -> None:
        """Prepare; nothing listens before ``start``."""
        self.name = 'cutting'
        self.role = ''
        self.address = ''
        self.requests = 0
        self._make_answer = make_answer
        self._read_bytes = read_bytes
        self._reset = reset
        self._listening = socket.create_server(('127.0.0.1', 0))

    async def start(self) -> None:
        """Listen on a free loopback port."""
        host, port = self._listening.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    async def stop(self) -> None:
        """Close the listener."""
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while self._listening.fileno() >= 0:
                accepted, _ = self._listening.accept()
                serving = threading.Thread(
                    target=self._serve, args=(accepted,), daemon=True
                )
                serving.start()

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, contextlib.suppress(OSError):
            received = b''
            while _HEAD_END not in received:
                piece = accepted.recv(_READ_BYTES)
                if not piece:
                    return
                received += piece
            self.requests += 1
            head, _, body = received.partition(_HEAD_END)
            left = self._read_bytes - len(body)
            while left > 0:
                piece = accepted.recv(min(left, _READ_BYTES))
                if not piece:
                    return
                left -= len(piece)
            accepted.sendall(self._make_answer(head + _HEAD_END))
            if self._reset:
                accepted.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                )
