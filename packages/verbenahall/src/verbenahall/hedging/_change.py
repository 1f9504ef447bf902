"""A change that several tasks wait for."""

import asyncio
from typing import final


@final
class Change:
    """Wakes all tasks that wait for the next change."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start before the first change."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake the waiting tasks; later ones wait for another change."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._event.wait()
