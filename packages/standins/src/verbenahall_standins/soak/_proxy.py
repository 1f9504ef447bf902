"""A loopback proxy that can delay, reset or hold back traffic."""

import asyncio
import contextlib
import enum
import socket
from typing import Final, final

_CHUNK_BYTES: Final = 65_536
#: Delay of each chunk on a slow link, in seconds.
_DELAY_S: Final = 0.15
_POLL_S: Final = 0.02


@final
class Link(enum.Enum):
    """State of a link: how it handles traffic."""

    GOOD = 'good'
    SLOW = 'slow'
    RESET = 'reset'
    #: Requests pass; answers are held back until the link is good again.
    ONE_WAY = 'one_way'
    #: Both directions are held back until the link is good again; nothing is
    #: lost, as with TCP retransmission.
    SILENT = 'silent'


@final
class Listener(enum.Enum):
    """State of a proxy's port: what new connections meet."""

    OPEN = 'open'
    #: The connect gets no response, as behind a partition.
    DARK = 'dark'
    #: The connect is refused.
    CLOSED = 'closed'


_HOST: Final = '127.0.0.1'
#: Connections that fill the queue of a listener which accepts none.
_QUEUE_FILLERS: Final = 2
#: Link states in which requests or answers are held back.
_REQUESTS_HELD_IN: Final = frozenset((Link.SILENT,))
_ANSWERS_HELD_IN: Final = frozenset((Link.SILENT, Link.ONE_WAY))


@final
class Proxy:
    """Listens on a free port and forwards connections to ``target``."""

    def __init__(self, target: str) -> None:
        """Prepare a link in the state ``GOOD``."""
        self.target = target
        self.link = Link.GOOD
        self.address = ''
        self._held_sockets: list[socket.socket] = []
        #: Faults overlap; two that open the listener at once need one port.
        self._changing = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or again on the same one."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, _HOST, port, reuse_address=True
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._close_listener()
        self._abort()

    async def set_listener(self, listener: Listener) -> None:
        """Set what new connections meet; open ones go on."""
        async with self._changing:
            self._close_listener()
            if listener is Listener.OPEN:
                await self.start()
            elif listener is Listener.DARK:
                self._open_dark()
            else:
                self._hold_port()

    def set(self, link: Link) -> None:
        """Set the state; ``RESET`` also resets open connections."""
        self.link = link
        if link is Link.RESET:
            self._abort()

    def _open_dark(self) -> None:
        """Listen without accepting, with a queue that is full.

        The kernel then drops the first packet of each new connection.
        """
        port = int(self.address.rpartition(':')[2])
        self._hold_port().listen(0)
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((_HOST, port))
            self._held_sockets.append(filler)

    def _hold_port(self) -> socket.socket:
        """Bind the port without listening, so that connects are refused.

        On a free port another process could listen, and would be reached.
        """
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((_HOST, int(self.address.rpartition(':')[2])))
        self._held_sockets.append(held)
        return held

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for opened in self._held_sockets:
            opened.close()
        self._held_sockets.clear()

    def _abort(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # One end has closed its connection; the other end gets a reset.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.link is Link.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, _REQUESTS_HELD_IN)
                )
                group.create_task(
                    self._forward(target_reader, writer, _ANSWERS_HELD_IN)
                )
        except* (OSError, asyncio.IncompleteReadError):
            target_writer.transport.abort()
            writer.transport.abort()
        finally:
            self._writers.discard(target_writer)
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_in: frozenset[Link],
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self.link is Link.SLOW:
                await asyncio.sleep(_DELAY_S)
            while self.link in held_in:
                await asyncio.sleep(_POLL_S)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
