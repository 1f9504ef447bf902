"""When an instance may call a store that has refused it."""

import asyncio
import contextlib
import random
from typing import Final, final

#: Shortest and longest pause between two calls, in seconds. The pause is
#: doubled after each failure.
_MIN_PAUSE_S: Final = 0.1
_MAX_PAUSE_S: Final = 2.0
#: Longest pause while no peer confirms the topic, in seconds. A change must be
#: in force within two seconds after the store has confirmed it, and then only
#: the instance's own call shows that the store answers again.
_MAX_UNCOVERED_S: Final = 0.7
#: Range of the random factor of a pause: instances that were refused together
#: must not call together.
_JITTER: Final = (0.5, 1.0)


@final
class StoreSpacing:
    """Spaces the calls of one instance while its calls fail.

    All topics share it, because the store refuses an instance, not a topic.
    The first answer to any call ends the spacing for all topics::

        if spacing.begin_call(now, covered=False):
            ...  # Call the store, then record_answer or record_failure.
        else:
            await spacing.wait(spacing.find_wait(now, covered=False))
    """

    __slots__ = (
        '_answered',
        '_began_at',
        '_has_begun',
        '_jitter',
        '_pause_s',
        '_random',
    )

    def __init__(self, rng: random.Random) -> None:
        """Start without a failure."""
        self._random = rng
        self._answered = asyncio.Event()
        self._began_at = -float('inf')
        self._has_begun = True
        self._jitter: float = 1
        self._pause_s: float = 0

    def record_answer(self) -> None:
        """End the spacing, and wake all that wait for it."""
        self._has_begun = True
        if self._pause_s:
            self._pause_s = 0
            self._answered.set()
            self._answered = asyncio.Event()

    def record_failure(self, now: float) -> None:
        """Lengthen the pause.

        Calls that were in progress when the first one failed fail one after
        the other. They count as one failure.
        """
        if not self._has_begun:
            return
        self._has_begun = False
        if not self._pause_s:
            self._began_at = now
        doubled_s = min(self._pause_s * 2, _MAX_PAUSE_S)
        self._pause_s = max(doubled_s, _MIN_PAUSE_S)
        self._jitter = self._random.uniform(*_JITTER)

    def find_wait(self, now: float, *, covered: bool) -> float:
        """Return the time until the next call in seconds, 0 if it is due.

        ``covered`` is whether peers confirm the topic meanwhile.
        """
        longest_s = _MAX_PAUSE_S if covered else _MAX_UNCOVERED_S
        pause_s = min(self._pause_s, longest_s) * self._jitter
        return max(0, self._began_at + pause_s - now)

    def begin_call(self, now: float, *, covered: bool) -> bool:
        """Whether a call may begin now; it then delays the next one."""
        if self.find_wait(now, covered=covered):
            return False
        # The pause runs from the beginning, so that a call that is never
        # answered does not delay the next one.
        if self._pause_s:
            self._began_at = now
            self._has_begun = True
        return True

    async def wait(self, wait_s: float) -> None:
        """Wait until the store answers a call, up to ``wait_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._answered.wait()
