"""Reads the bodies of answers, of which a faulty sender may send any number."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Self, final

import aiohttp

from verbenahall.buffers import ByteBudget, HeldBytes

#: Least rate at which the body of an answer must arrive, in bytes a second. It
#: bounds the time for which a sender of single bytes is listened to.
MIN_BYTES_S: Final = 32_768
#: Size of the blocks in which the pieces of an answer wait for its end, in
#: bytes: smaller ones lie in the heap, and would fragment it.
_BLOCK_BYTES: Final = 32_768
#: Characters of an error that are logged.
_MAX_LOGGED_CHARS: Final = 200


@final
class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body has more bytes than are held for it."""


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    handle_progress: Callable[[int], object] = bool,
) -> bytes:
    """Return a whole body; ``BodyTooLargeError`` if it is longer.

    ``handle_progress`` is called with the number of bytes so far.
    """
    pieces: list[bytes] = []
    size = 0
    while piece := await response.content.readany():
        size += len(piece)
        if size > max_bytes:
            raise BodyTooLargeError(f'more than {max_bytes} bytes')
        pieces.append(piece)
        handle_progress(size)
    return b''.join(pieces)


@final
class ProgressTimeout:
    """Ends a call that makes no progress, however long its answer is.

    The head of the answer must arrive within ``head_s``, and every next byte of
    the body within ``silence_s``, on average at ``MIN_BYTES_S`` at least. For
    example::

        async with ProgressTimeout(0.5, 0.9) as timeout:
            async with session.get(url) as response:
                body = await read_body(response, 4096, timeout.extend)
    """

    __slots__ = ('_silence_s', '_started_at', '_timeout')

    def __init__(self, head_s: float, silence_s: float) -> None:
        """Start on entering the context."""
        self._silence_s = silence_s
        self._started_at: float | None = None
        self._timeout = asyncio.timeout(head_s)

    async def __aenter__(self) -> Self:
        """Start the timeout of the head."""
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        """Raise ``TimeoutError`` if the call was ended."""
        return await self._timeout.__aexit__(*error)

    def extend(self, size: int) -> None:
        """Extend the timeout: ``size`` bytes of the body have arrived."""
        now = asyncio.get_running_loop().time()
        if self._started_at is None:
            self._started_at = now
        slowest_s = size / MIN_BYTES_S
        until = min(now, self._started_at + slowest_s) + self._silence_s
        if not self._timeout.expired():
            self._timeout.reschedule(until)


async def read_held_body(
    response: aiohttp.ClientResponse, budget: ByteBudget
) -> tuple[bytes, HeldBytes]:
    """Return a whole body and what counts it in the budget.

    Raises ``BodyTooLargeError`` if it exceeds what an answer may have, or what
    the budget has left.
    """
    held = budget.open()
    blocks: list[bytes] = []
    pieces: list[bytes] = []
    joined = 0
    while piece := await response.content.readany():
        is_within = held.count + len(piece) <= budget.answer_limit
        if not (is_within and held.add(len(piece))):
            raise BodyTooLargeError(f'more than {held.count} bytes')
        pieces.append(piece)
        if held.count - joined >= _BLOCK_BYTES:
            blocks.append(b''.join(pieces))
            pieces.clear()
            joined = held.count
    return b''.join((*blocks, *pieces)), held


def format_error(error: BaseException) -> str:
    """Return an error for the log, cut to a bounded length."""
    return f'{type(error).__name__}: {error}'[:_MAX_LOGGED_CHARS]


def describe_error(error: BaseException) -> str:
    """Return an error for a caller, without bytes or addresses of others."""
    return next(text for kind, text in _DESCRIPTIONS if isinstance(error, kind))


#: The first kind that an error has gives its description.
_DESCRIPTIONS: Final = (
    (BodyTooLargeError, 'the answer is too large'),
    (aiohttp.ClientConnectorError, 'no connection'),
    (aiohttp.ConnectionTimeoutError, 'no connection in time'),
    (TimeoutError, 'no answer in time'),
    (aiohttp.ClientResponseError, 'the answer is invalid'),
    (aiohttp.ClientPayloadError, 'the answer ended early'),
    (BaseException, 'the connection failed'),
)
