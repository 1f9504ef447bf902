"""A request body that is written only while the lease is held."""

from collections.abc import Callable

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter

from verbenahall.errors import VerbenahallError


class LeaseLostError(VerbenahallError):
    """The lease was over when the order was about to be written."""


class LeaseBody(payload.BytesPayload):
    """Bytes whose writing checks the lease in the same step.

    aiohttp connects first, keeps the headers in memory and joins them with
    the first chunk of the body. So nothing of the order has left the process
    when ``check`` runs, and the transport hands everything to the kernel
    before the loop runs anything else. A pause can still fall between the
    check and that call; for an engine that ignores tokens the next holder
    waits it out. ``written`` tells whether the engine may have got the order.
    """

    def __init__(self, body: bytes, check: Callable[[], bool]) -> None:
        """Keep the body and the check to run before it is written."""
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
