"""A bound on the bytes that an instance holds for all its requests.

Bodies of requests and whole answers stay in memory until they are passed on.
Each has a ``HeldBytes``, which counts its bytes until they are released, at the
latest with its last reference::

    budget = ByteBudget(make_byte_limit(memory_bytes))
    held = budget.open()
    if not held.add(len(piece)):
        raise BodyTooLargeError('no more bytes may be held')
    ...  # Write the body.
    held.release()
"""

import weakref
from typing import Final, final

#: Divisor of the process's memory limit that gives the bound of all bodies. A
#: body is held twice while it is being written to a slow reader, and the
#: process itself takes a fifth to a third of its memory.
_MEMORY_DIVISOR: Final = 5
#: Divisor of that bound that gives the largest answer.
_ANSWER_DIVISOR: Final = 8
#: Bytes of each body that are granted though the bound is reached, so that
#: large bodies don't keep small ones out.
GRANTED_BYTES: Final = 16_384


def make_byte_limit(memory_bytes: int) -> int:
    """Return the bound of all bodies for a process's memory, in bytes."""
    return memory_bytes // _MEMORY_DIVISOR


@final
class ByteBudget:
    """The bytes that are held for all requests, at most ``limit``.

    Beyond it, each body may have ``GRANTED_BYTES``. An answer may have
    ``answer_limit`` bytes.
    """

    __slots__ = ('answer_limit', 'held', 'limit')

    def __init__(self, limit: int) -> None:
        """Start without a body."""
        self.answer_limit = limit // _ANSWER_DIVISOR
        self.held = 0
        self.limit = limit

    def open(self) -> 'HeldBytes':
        """Return the count of a body without bytes."""
        return HeldBytes(self)


@final
class HeldBytes:
    """The bytes of one body.

    Some bodies are dropped on a path that does not release them: an answer that
    a later one replaces, or one whose request is cancelled. So the last
    reference releases them, too.
    """

    __slots__ = ('__weakref__', '_budget', '_count', '_finalizer')

    def __init__(self, budget: ByteBudget) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._count = [0]
        self._finalizer = weakref.finalize(self, _release, budget, self._count)
        self._finalizer.atexit = False

    @property
    def count(self) -> int:
        """The number of bytes held."""
        return self._count[0]

    def add(self, count: int) -> bool:
        """Hold more bytes; False, without holding them, beyond the bound."""
        budget = self._budget
        is_granted = self.count + count <= GRANTED_BYTES
        if not is_granted and budget.held + count > budget.limit:
            return False
        self._count[0] += count
        budget.held += count
        return True

    def release(self) -> None:
        """Release all bytes now."""
        _release(self._budget, self._count)


def _release(budget: ByteBudget, held: list[int]) -> None:
    budget.held -= held[0]
    held[0] = 0
