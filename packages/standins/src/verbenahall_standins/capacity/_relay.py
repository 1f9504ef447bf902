"""A relay that counts the bytes between a client and an address."""

import asyncio
from typing import Final

_CHUNK: Final = 65_536


class Relay:
    """Listens on a port of its own and passes bytes to ``address``."""

    __slots__ = ('address', 'carried', '_host', '_port', '_server')

    def __init__(self, address: str) -> None:
        """Prepare a relay to ``address`` (``IP:port``)."""
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self.address = ''
        self.carried = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._carry, self._host, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer),
                self._pump(far_reader, writer),
            )
        except asyncio.CancelledError:
            # The measurement is over and the loop ends.
            return

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK):
                self.carried += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # The other side went away; the connection's end is all it means.
            return
        finally:
            writer.close()
