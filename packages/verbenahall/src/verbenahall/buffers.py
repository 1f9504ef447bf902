"""A bound on the bytes that an instance holds for all its requests.

What connections hold and the whole answers of endpoints share one account.
Each answer has a ``HeldBytes``, which counts its bytes until they are released,
at the latest with its last reference::

    budget = ByteBudget(make_byte_limit(memory_bytes))
    held = budget.open()
    if not held.add(len(piece)):
        raise BodyTooLargeError('no more bytes may be held')
    ...  # Write the body.
    held.release()
"""

import weakref
from typing import Final, final

from verbenahall import clock, journal, metrics
from verbenahall.memory import Bounds, MemoryAccount

#: Divisor of the process's memory limit that gives the bound of all bytes. A
#: body is held twice while it is being written to a slow reader, and the
#: process itself takes a fifth to a third of its memory.
_MEMORY_DIVISOR: Final = 5
#: Sizes of the kernel's buffers of a connection in bytes. Its own bound is
#: megabytes, of which the process would know nothing.
RECEIVE_BUFFER_BYTES: Final = 32_768
SEND_BUFFER_BYTES: Final = 131_072
#: Size of the receive buffer while there are many connections, in bytes.
CROWD_BUFFER_BYTES: Final = 8_192
#: The kernel doubles the size that a receive buffer is set to.
BUFFER_FACTOR: Final = 2
#: Divisor of the bound of all bytes that gives what large receive buffers may
#: hold.
_BUFFER_DIVISOR: Final = 2
#: Divisor of that bound that gives the largest answer.
_ANSWER_DIVISOR: Final = 8
#: Interval at which small receive buffers are logged at most, in seconds.
_LOG_S: Final = 10.0
#: Bound of all bytes in a process that states no memory.
_DEFAULT_LIMIT_BYTES: Final = 67_108_864
DEFAULT_BOUNDS: Final = Bounds.from_total(_DEFAULT_LIMIT_BYTES)


def make_byte_limit(memory_bytes: int) -> int:
    """Return the bound of all bytes for a process's memory, in bytes."""
    return memory_bytes // _MEMORY_DIVISOR


def find_receive_buffer(bounds: Bounds, connections: int) -> int:
    """Return the size of a new connection's receive buffer, in bytes.

    ``connections`` are open in the process, the new one included.
    """
    held = connections * BUFFER_FACTOR * RECEIVE_BUFFER_BYTES
    if held <= bounds.total // _BUFFER_DIVISOR:
        return RECEIVE_BUFFER_BYTES
    return CROWD_BUFFER_BYTES


@final
class ReceiveBuffers:
    """Sizes the receive buffers of connections of one kind.

    It logs when they are small. ``kind`` names the connections in the log.
    """

    __slots__ = ('_bounds', '_kind', '_logged_at')

    def __init__(self, bounds: Bounds, kind: str) -> None:
        """Start without a connection."""
        self._bounds = bounds
        self._kind = kind
        self._logged_at = float('-inf')

    def find_size(self, connections: int) -> int:
        """Return the size for a new one, which is counted, in bytes."""
        size = find_receive_buffer(self._bounds, connections)
        if size == CROWD_BUFFER_BYTES:
            metrics.CLIENT_LIMITS.add('small_buffers')
            self._log(connections)
        return size

    def _log(self, connections: int) -> None:
        now = clock.monotonic()
        if now - self._logged_at >= _LOG_S:
            self._logged_at = now
            journal.write_decision(
                'small_buffers', kind=self._kind, connections=connections
            )


@final
class ByteBudget:
    """The bytes that are held for all requests, at most ``limit``.

    ``account`` counts them; what connections hold counts there, too. An answer
    may have ``answer_limit`` bytes.
    """

    __slots__ = ('account', 'answer_limit', 'limit')

    def __init__(self, limit: int) -> None:
        """Start without a body."""
        self.account = MemoryAccount(Bounds.from_total(limit))
        self.answer_limit = limit // _ANSWER_DIVISOR
        self.limit = limit

    @property
    def bounds(self) -> Bounds:
        """The bounds of the account."""
        return self.account.state.bounds

    @property
    def held(self) -> int:
        """The number of bytes held."""
        return self.account.state.held

    def open(self) -> 'HeldBytes':
        """Return the count of an answer without bytes."""
        return HeldBytes(self.account)


@final
class HeldBytes:
    """The bytes of one answer.

    Some answers are dropped on a path that does not release them: one that a
    later one replaces, or whose request is cancelled. So the last reference
    releases them, too.
    """

    __slots__ = ('__weakref__', '_account', '_count', '_finalizer')

    def __init__(self, account: MemoryAccount) -> None:
        """Hold nothing yet."""
        self._account = account
        self._count = [0]
        self._finalizer = weakref.finalize(self, _release, account, self._count)
        self._finalizer.atexit = False

    @property
    def count(self) -> int:
        """The number of bytes held."""
        return self._count[0]

    def add(self, count: int) -> bool:
        """Hold more bytes; False, without holding them, beyond the bound."""
        if not self._account.add_answer(count):
            return False
        self._count[0] += count
        return True

    def release(self) -> None:
        """Release all bytes now."""
        _release(self._account, self._count)


def _release(account: MemoryAccount, held: list[int]) -> None:
    account.release_answer(held[0])
    held[0] = 0
