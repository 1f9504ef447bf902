"""Confirms that an instance's list of endpoints was complete at a time."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import final

from verbenahall.clock import Clock
from verbenahall.store_relay import Freshness


@final
class ListConfirmation:
    """Reads the store once for all that need a confirmation at a time.

    ``refresh`` reads what is new of the list, and returns whether the store
    has answered.
    """

    __slots__ = ('refresh', '_freshness', '_lock', '_now', '_tried_at')

    def __init__(self, freshness: Freshness, now: Clock) -> None:
        """Confirm by other confirmations only, until ``refresh`` is set."""
        self.refresh: Callable[[], Awaitable[bool]] = _refresh_nothing
        self._freshness = freshness
        self._lock = asyncio.Lock()
        self._now = now
        self._tried_at = -math.inf

    async def confirm(self, since: float) -> bool:
        """Return whether the list holds all that the store had at a time.

        Takes as long as two reads of the store at most.
        """
        async with self._lock:
            if self._freshness.confirmed_at < since and self._tried_at < since:
                self._tried_at = self._now()
                await self.refresh()
        return self._freshness.confirmed_at >= since


async def _refresh_nothing() -> bool:
    return False
