"""What the connections of a listener share."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Final, final

from verbenahall.buffers import ReceiveBuffers
from verbenahall.memory import MemoryAccount

#: Part of the event loop's time that all bodies in very small chunks may take.
_SLICE_SHARE: Final = 0.25
_MIN_SLICE_S: Final = 0.0002


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits of caller connections: timeouts in seconds, heads in bytes.

    ``first_request_s`` runs from the start of a connection to its first
    request, ``head_s`` from the first to the last byte of a request head, and
    ``idle_s`` from a response to the next request.
    """

    first_request_s: float
    head_s: float
    idle_s: float
    head_bytes: int


@final
class ChunkPacer:
    """Shares a part of the event loop among bodies in very small chunks."""

    __slots__ = ('_bodies',)

    def __init__(self) -> None:
        """Start without such a body."""
        self._bodies: set[object] = set()

    def add(self, body: object) -> None:
        """Take in a body."""
        self._bodies.add(body)

    def remove(self, body: object) -> None:
        """Take out a body that has ended; others are ignored."""
        self._bodies.discard(body)

    def find_pause_s(self, took_s: float) -> float:
        """Return the pause of a body after ``took_s`` of the loop's time."""
        shares = len(self._bodies) / _SLICE_SHARE
        return max(took_s, _MIN_SLICE_S) * max(1, shares - 1)


@final
class ListenerState:
    """What the connections of a listener share.

    ``options`` are passed to aiohttp, ``read_limits`` returns the limits in
    force. ``closing`` connections were closed to make room for others, and have
    not ended yet. ``buffers`` sizes the receive buffers.
    """

    __slots__ = (
        'account',
        'buffers',
        'closing',
        'options',
        'pacer',
        'read_limits',
    )

    def __init__(
        self,
        account: MemoryAccount,
        read_limits: Callable[[], ReadLimits],
        options: Mapping[str, Any],
    ) -> None:
        """Start without a connection."""
        self.account = account
        self.buffers = ReceiveBuffers(account.state.bounds, 'callers')
        self.closing = 0
        self.options = options
        self.pacer = ChunkPacer()
        self.read_limits = read_limits
