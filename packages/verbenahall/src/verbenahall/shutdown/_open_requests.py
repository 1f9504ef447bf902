"""Tracks the open requests of an application."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from absl import logging
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class OpenRequests:
    """Counts the open requests of an application, and can cancel them."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        """Start without open requests."""
        self._tasks: set[asyncio.Task[object]] = set()

    @web.middleware
    async def count(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Middleware that counts a request while it is handled."""
        task = asyncio.current_task()
        if task is None:
            return await handler(request)
        self._tasks.add(task)
        try:
            return await handler(request)
        finally:
            self._tasks.discard(task)

    def count_open(self) -> int:
        """Return the number of open requests."""
        return len(self._tasks)

    def cancel_all(self) -> None:
        """Cancel the requests that are open at the end of the grace period."""
        if self._tasks:
            logging.warning(
                'cancelling %d requests at the end of the grace period',
                len(self._tasks),
            )
        for task in tuple(self._tasks):
            task.cancel()
