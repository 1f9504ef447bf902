"""Reads the bodies of answers, of which a faulty sender may send any number."""

from typing import Final, final

import aiohttp

from verbenahall.buffers import ByteBudget, HeldBytes

#: Characters of an error that are logged.
_MAX_LOGGED_CHARS: Final = 200


@final
class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body has more bytes than are held for it."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a whole body; ``BodyTooLargeError`` if it is longer."""
    pieces: list[bytes] = []
    size = 0
    while piece := await response.content.readany():
        size += len(piece)
        if size > max_bytes:
            raise BodyTooLargeError(f'more than {max_bytes} bytes')
        pieces.append(piece)
    return b''.join(pieces)


async def read_held_body(
    response: aiohttp.ClientResponse, budget: ByteBudget
) -> tuple[bytes, HeldBytes]:
    """Return a whole body and what counts it in the budget.

    Raises ``BodyTooLargeError`` if it exceeds what an answer may have, or what
    the budget has left.
    """
    held = budget.open()
    pieces: list[bytes] = []
    while piece := await response.content.readany():
        is_within = held.count + len(piece) <= budget.answer_limit
        if not (is_within and held.add(len(piece))):
            raise BodyTooLargeError(f'more than {held.count} bytes')
        pieces.append(piece)
    return b''.join(pieces), held


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
