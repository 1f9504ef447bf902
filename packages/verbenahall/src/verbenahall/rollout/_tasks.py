"""Named background tasks, one for each name at a time."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Tasks:
    """Keeps tasks alive and ends them together."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        """Start with none."""
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the loop, unless its name is still running."""
        if name in self._running:
            work.close()
            return
        task = asyncio.create_task(work, name=name)
        self._running[name] = task
        task.add_done_callback(lambda _: self._running.pop(name, None))

    def is_running(self, name: str) -> bool:
        """Tell whether work of this name is under way."""
        return name in self._running

    async def stop(self) -> None:
        """Cancel everything and wait for it to end."""
        running = tuple(self._running.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
