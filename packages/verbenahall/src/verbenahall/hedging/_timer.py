"""Finds out when a branch has been silent for too long."""

import asyncio
from collections.abc import Callable
from typing import Final, final

#: Time for reads after a branch was found silent, in seconds. The event loop
#: runs timers first, so after a pause of the process answers may wait unread.
_READ_S: Final = 0.01


def _find_nothing() -> None:
    """Return None: nothing is awaited."""


def _do_nothing() -> None:
    """Do nothing after the end."""


@final
class SilenceTimer:
    """Calls ``handle_silent`` when the time of ``find_silent_at`` has passed.

    That time, in seconds of the event loop, may move: it is looked up again
    when it was due. None means that nothing is awaited.
    """

    __slots__ = (
        '_due_at',
        '_find_silent_at',
        '_handle_silent',
        '_is_confirming',
        '_timer',
    )

    def __init__(
        self,
        find_silent_at: Callable[[], float | None],
        handle_silent: Callable[[], None],
    ) -> None:
        """Start without a timer."""
        self._due_at = float('inf')
        self._find_silent_at = find_silent_at
        self._handle_silent = handle_silent
        self._is_confirming = False
        self._timer: asyncio.TimerHandle | None = None

    def update(self) -> None:
        """Set the timer if the time is earlier than when it is due."""
        silent_at = self._find_silent_at()
        if silent_at is not None and silent_at < self._due_at:
            self.stop()
            loop = asyncio.get_running_loop()
            delay_s = max(_READ_S, silent_at - loop.time())
            self._due_at = silent_at
            self._timer = loop.call_later(delay_s, self._check)

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._due_at = float('inf')

    def close(self) -> None:
        """Stop the timer for good, and refer to its owner no longer.

        The owner refers to the timer, and both would stay in memory, with the
        body of a request, until the garbage collector finds them.
        """
        self.stop()
        self._find_silent_at = _find_nothing
        self._handle_silent = _do_nothing

    def _check(self) -> None:
        self.stop()
        silent_at = self._find_silent_at()
        now = asyncio.get_running_loop().time()
        is_silent = silent_at is not None and silent_at <= now
        is_confirmed = is_silent and self._is_confirming
        self._is_confirming = is_silent and not is_confirmed
        try:
            if is_confirmed:
                self._handle_silent()
        finally:
            self.update()
