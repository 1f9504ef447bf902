"""Keeps an instance's background loops running."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, final

from absl import logging

_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 5.0

#: Runs until cancelled.
Loop = Callable[[], Awaitable[None]]
#: Loops by name.
Loops = Mapping[str, Loop]


@final
class Supervisor:
    """Runs loops by name and starts one again when it fails.

    A loop that died silently would leave an instance that looks healthy but,
    say, follows the log no more: its settings grow old and nobody is told.
    """

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        """Start with nothing running."""
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, loop: Loop) -> None:
        """Run a loop beside the others."""
        self._tasks[name] = asyncio.create_task(_keep(name, loop), name=name)

    async def stop(self, *names: str) -> None:
        """Cancel the named loops, or all, and wait until they have ended."""
        wanted = names or tuple(self._tasks)
        tasks = [self._tasks.pop(name) for name in wanted]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _keep(name: str, loop: Loop) -> None:
    pause_s = _FIRST_PAUSE_S
    while True:
        try:
            await loop()
        except Exception:
            logging.exception('loop %s failed; it starts again', name)
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
