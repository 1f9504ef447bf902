"""A loopback proxy that can delay, reset or hold back traffic."""

import asyncio
import contextlib
import enum
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
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def set(self, link: Link) -> None:
        """Set the state; ``RESET`` also resets open connections."""
        self.link = link
        if link is Link.RESET:
            self._abort()

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
