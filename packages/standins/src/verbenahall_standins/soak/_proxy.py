"""A loopback link that delays, resets, holds back or loses one direction."""

import asyncio
import contextlib
import enum
from typing import Final, final

_CHUNK: Final = 65_536
_DELAY_S: Final = 0.15
_LOOK_S: Final = 0.02


@final
class Link(enum.Enum):
    """What the link does to what goes over it."""

    GOOD = 'good'
    SLOW = 'slow'
    RESET = 'reset'
    #: Calls arrive and their answers do not, until the link is good again.
    ONE_WAY = 'one_way'
    #: Nothing arrives until then; what was sent is not lost, as by resending.
    SILENT = 'silent'


_HOLDS_CALLS: Final = frozenset((Link.SILENT,))
_HOLDS_ANSWERS: Final = frozenset((Link.SILENT, Link.ONE_WAY))


@final
class Proxy:
    """Listens on a free port and passes connections on to ``target``."""

    def __init__(self, target: str) -> None:
        """Prepare a good link."""
        self.target = target
        self.link = Link.GOOD
        self.address = ''
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self._abort()

    def set(self, link: Link) -> None:
        """Change the link; a reset one drops what is open."""
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
            # An end is gone: the other one learns it by the abort below.
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
        answers, calls = await asyncio.open_connection(host, int(port))
        self._writers.add(calls)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, calls, _HOLDS_CALLS))
                group.create_task(self._pump(answers, writer, _HOLDS_ANSWERS))
        except* (OSError, asyncio.IncompleteReadError):
            calls.transport.abort()
            writer.transport.abort()
        finally:
            self._writers.discard(calls)
            calls.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holds: frozenset[Link],
    ) -> None:
        while chunk := await reader.read(_CHUNK):
            if self.link is Link.SLOW:
                await asyncio.sleep(_DELAY_S)
            while self.link in holds:
                await asyncio.sleep(_LOOK_S)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
