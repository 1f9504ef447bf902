"""Opens the connections of a crowd, and keeps them open."""

import asyncio
import contextlib
import socket
from types import TracebackType
from typing import Final, Self, final

from verbenahall_standins.crowds._forms import Form, Script, Target

#: Bytes that are received at a time.
_READ_BYTES: Final = 65_536
#: Pause between two bytes of a client that goes on slowly, in seconds.
_DRIP_S: Final = 1.0
_HEAD_END: Final = b'\r\n\r\n'
_LENGTH: Final = b'content-length:'


@final
class Crowd:
    """The clients of one form at one listener.

    On entering the context they send what the form says, for a few seconds at
    most, and their connections stay open until it is left::

        async with Crowd(form, target, '127.0.0.1:8080'):
            ...  # Send an ordinary request beside it.
    """

    def __init__(
        self,
        form: Form,
        target: Target,
        address: str,
        send_s: float | None = None,
    ) -> None:
        """Prepare; nothing is opened yet. The address is ``IP:port``.

        A client tries to send for ``send_s`` seconds, by default as long as
        the form says.
        """
        self._send_s = form.send_s if send_s is None else send_s
        self._script = form.make_script(target)
        self._clients = form.clients
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._open: set[socket.socket] = set()
        self._dripping: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Open the connections, and send."""
        clients = (self._run_client() for _ in range(self._clients))
        await asyncio.gather(*clients)
        if self._script.drips:
            self._dripping = asyncio.create_task(self._drip())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        if self._dripping is not None:
            self._dripping.cancel()
        for opened in self._open:
            opened.close()

    async def _run_client(self) -> None:
        """Send until all is sent, the time is over or the connection ends.

        The last connection stays open.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._send_s):
                await self._send_on_connections()

    async def _send_on_connections(self) -> None:
        for _ in range(self._script.reconnects):
            opened = self._open_socket()
            await self._send_all(opened)
            self._open.remove(opened)
            opened.close()
        await self._send_all(self._open_socket())

    def _open_socket(self) -> socket.socket:
        opened = socket.socket()
        opened.setblocking(False)
        self._open.add(opened)
        return opened

    async def _send_all(self, opened: socket.socket) -> None:
        """Connect, and send all; an end of the connection is ignored."""
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(opened, self._address)
            for _ in range(self._script.repeats):
                await _send(opened, self._script)

    async def _drip(self) -> None:
        """Send a byte on each connection that is still open, once a second."""
        while True:
            await asyncio.sleep(_DRIP_S)
            for opened in self._open:
                with contextlib.suppress(OSError):
                    opened.send(b'a')


async def _send(opened: socket.socket, script: Script) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(opened, script.head)
    sent = 0
    while sent < script.piece_bytes:
        await loop.sock_sendall(opened, script.piece)
        sent += len(script.piece)
        # Others send in between.
        await asyncio.sleep(0)
    await loop.sock_sendall(opened, script.end)
    if script.reads:
        await _read_answer(opened)


async def _read_answer(opened: socket.socket) -> None:
    """Read an answer that states its length."""
    loop = asyncio.get_running_loop()
    received = b''
    while _HEAD_END not in received:
        received += await _receive(loop, opened)
    head, _, body = received.partition(_HEAD_END)
    fields = head.lower().partition(_LENGTH)[2]
    left = int(fields.partition(b'\r\n')[0]) - len(body)
    while left > 0:
        left -= len(await _receive(loop, opened))


async def _receive(
    loop: asyncio.AbstractEventLoop, opened: socket.socket
) -> bytes:
    piece = await loop.sock_recv(opened, _READ_BYTES)
    if not piece:
        raise ConnectionResetError('the connection has ended')
    return piece
