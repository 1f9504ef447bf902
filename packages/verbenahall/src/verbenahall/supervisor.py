"""Restarts the background loops of an instance when they fail."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, final

from absl import logging

#: First and longest delay before a restart, in seconds; it doubles each time.
_MIN_RESTART_DELAY_S: Final = 0.1
_MAX_RESTART_DELAY_S: Final = 5.0

#: A coroutine function that runs until it is cancelled.
Loop = Callable[[], Awaitable[None]]
#: Loops by name.
Loops = Mapping[str, Loop]


@final
class Supervisor:
    """Runs named loops and restarts those that fail.

    If a failed loop were not restarted, the instance would look healthy but,
    for example, stop reading the log and serve with outdated settings.
    """

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        """Create a supervisor without loops."""
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(self, name: str, loop: Loop) -> None:
        """Start a loop as a background task."""
        self._tasks[name] = asyncio.create_task(
            _run_with_restarts(name, loop), name=name
        )

    async def stop(self, *names: str) -> None:
        """Cancel the named loops, or all if none is named, and await them."""
        wanted = names or tuple(self._tasks)
        tasks = [self._tasks.pop(name) for name in wanted]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_with_restarts(name: str, loop: Loop) -> None:
    delay_s = _MIN_RESTART_DELAY_S
    while True:
        try:
            await loop()
        except Exception:
            logging.exception('background loop %s failed; restarting it', name)
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_RESTART_DELAY_S)
