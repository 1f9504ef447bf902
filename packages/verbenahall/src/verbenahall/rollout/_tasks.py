"""Background tasks, of which one runs under each name at a time."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class Tasks:
    """Holds references to running tasks and cancels them together."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        """Start without tasks."""
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Start a task, unless one of the same name is still running."""
        if name in self._running:
            work.close()
            return
        task = asyncio.create_task(work, name=name)
        self._running[name] = task
        task.add_done_callback(lambda _: self._running.pop(name, None))

    def is_running(self, name: str) -> bool:
        """Return whether a task of this name is running."""
        return name in self._running

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        running = tuple(self._running.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
