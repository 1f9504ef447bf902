"""Looks at the store once more before an unknown key is refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

from verbenahall.clock import Clock

#: Least time between two lookups, in seconds. Guessed keys would otherwise
#: cost a call to the store each.
_APART_S: Final = 1.0


@final
class KeyLookups:
    """Bounds the calls that unknown keys cause.

    ``refresh`` asks the store for newer manifests.
    """

    __slots__ = ('_asking', '_asked_at', '_clock', '_refresh')

    def __init__(
        self,
        refresh: Callable[[], Awaitable[bool]],
        now: Clock,
    ) -> None:
        """Start without a lookup."""
        self._asking: asyncio.Future[bool] | None = None
        self._asked_at = -float('inf')
        self._clock = now
        self._refresh = refresh

    async def look(self) -> bool:
        """Ask the store, with all that wait; False when nothing was asked."""
        if self._asking is None:
            now = self._clock()
            if now - self._asked_at < _APART_S:
                return False
            self._asked_at = now
            self._asking = asyncio.ensure_future(self._refresh())
            self._asking.add_done_callback(self._note_done)
        return await asyncio.shield(self._asking)

    def _note_done(self, asked: asyncio.Future[bool]) -> None:
        self._asking = None
