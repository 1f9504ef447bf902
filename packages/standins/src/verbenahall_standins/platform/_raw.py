"""An endpoint that answers with raw bytes given by the test."""

import asyncio
import re
import socket
import struct
from collections.abc import Sequence
from typing import Final, final

_REQUEST_ID: Final = re.compile(rb'X-Verbenahall-Request-Id:[^\r]*\r\n', re.I)
_FINAL_HEAD: Final = re.compile(rb'HTTP/1\.[01] [2-5]')
#: Linger time of zero: closing the socket resets the connection.
_NO_LINGER: Final = struct.pack('ii', 1, 0)


@final
class RawEndpoint:
    """Answers each request with the next of the given answers.

    An answer is a sequence of pieces that are sent one by one. ``None`` in
    place of a piece resets the connection, an empty piece closes it, and a
    number is a pause in seconds. The id of the request is added to the head of
    an answer that has none, unless ``identifies`` is false.
    """

    def __init__(
        self,
        *answers: Sequence[bytes | float | None],
        identifies: bool = True,
    ) -> None:
        """Prepare the answers; the last one is repeated."""
        self.identifies = identifies
        self._answers = list(answers)
        self.requests: list[bytes] = []
        self.connections = 0
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        keep_open = True
        while keep_open:
            try:
                keep_open = await self._send_answer(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                keep_open = False
        writer.close()

    async def _send_answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(request)
        answer = self._answers[0]
        if len(self._answers) > 1:
            self._answers.pop(0)
        for piece in answer:
            match piece:
                case None:
                    _reset(writer)
                    return False
                case b'':
                    writer.close()
                    return False
                case float() | int():
                    await asyncio.sleep(piece)
                case _:
                    writer.write(self._identify(piece, request))
                    await writer.drain()
                    await asyncio.sleep(0.02)
        return True

    def _identify(self, piece: bytes, request: bytes) -> bytes:
        return add_request_id(piece, request) if self.identifies else piece


def add_request_id(answer: bytes, request: bytes) -> bytes:
    """Add a request's id to the head of a final answer that has none."""
    identity = _REQUEST_ID.search(request)
    is_head = _FINAL_HEAD.match(answer) and not _REQUEST_ID.search(answer)
    if identity is None or not is_head:
        return answer
    line, end, rest = answer.partition(b'\r\n')
    return line + end + identity.group() + rest if end else answer


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
