"""Refreshes the key table from the store before an unknown key is refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

from absl import logging

from verbenahall.clock import Clock

#: Least time between two refreshes, in seconds. Otherwise each guessed key
#: would cost a call to the store.
_MIN_INTERVAL_S: Final = 1.0


@final
class KeyRefresher:
    """Limits the calls to the store that unknown keys cause.

    The argument ``refresh`` reads newer manifests from the store.
    """

    __slots__ = ('_clock', '_pending', '_refresh', '_started_at')

    def __init__(
        self,
        refresh: Callable[[], Awaitable[bool]],
        now: Clock,
    ) -> None:
        """Start without a call."""
        self._pending: asyncio.Future[bool] | None = None
        self._started_at = -float('inf')
        self._clock = now
        self._refresh = refresh

    async def refresh(self) -> bool:
        """Refresh the keys, sharing a call in progress.

        Return False without a call if the last one was too recent, and if the
        call fails: the key is then refused by the keys that are known.
        """
        if self._pending is None:
            now = self._clock()
            if now - self._started_at < _MIN_INTERVAL_S:
                return False
            self._started_at = now
            self._pending = asyncio.ensure_future(self._refresh())
            self._pending.add_done_callback(self._clear_pending)
        pending = self._pending
        await asyncio.wait((pending,))
        return _has_succeeded(pending) and pending.result()

    def _clear_pending(self, finished: asyncio.Future[bool]) -> None:
        self._pending = None
        if not _has_succeeded(finished):
            logging.error('the refresh of the keys failed: %r', finished)


def _has_succeeded(finished: asyncio.Future[bool]) -> bool:
    return not finished.cancelled() and finished.exception() is None
