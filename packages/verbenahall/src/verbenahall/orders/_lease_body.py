"""A request body that is written only while the lease is held."""

from collections.abc import Callable

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter

from verbenahall.errors import VerbenahallError


class LeaseLostError(VerbenahallError):
    """The lease ended before the order was written."""


class LeaseBody(payload.BytesPayload):
    """Body that checks the lease in the same event loop step as its write.

    aiohttp connects first, buffers the headers and sends them together with
    the first chunk of the body. So no byte of the request has left the
    process when ``check`` runs, and the transport passes all of them to the
    kernel before the event loop runs anything else. The process can still be
    paused between the check and that call; if the engine ignores tokens, the
    next holder waits for the longest such pause. ``written`` is true if the
    engine may have received the order.
    """

    def __init__(self, body: bytes, check: Callable[[], bool]) -> None:
        """Set the body and the check to run before it is written."""
        super().__init__(body, content_type='application/json')
        self.written = False
        self._check = check

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body, or raise ``LeaseLostError``."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self,
        writer: AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Write the body, or raise ``LeaseLostError``."""
        if not self._check():
            raise LeaseLostError('the lease ended before the order was sent')
        self.written = True
        await writer.write(self._value, drain=False)
