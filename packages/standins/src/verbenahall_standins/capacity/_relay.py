"""A TCP relay that counts bytes in both directions."""

import asyncio
from typing import Final

_CHUNK_BYTES: Final = 65_536


class Relay:
    """Listens on a free port and forwards connections to an address.

    ``address`` is its own address, empty until ``open``.
    """

    __slots__ = ('_host', '_port', '_server', 'address', 'byte_count')

    def __init__(self, address: str) -> None:
        """Set the target address (``IP:port``)."""
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self.address = ''
        self.byte_count = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection, self._host, 0
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host,
                self._port,
            )
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer),
                self._forward(upstream_reader, writer),
            )
        except asyncio.CancelledError:
            # The event loop stops at the end of the measurement.
            return

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                self.byte_count += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # One end closed its connection: nothing more can be forwarded.
            return
        finally:
            writer.close()
