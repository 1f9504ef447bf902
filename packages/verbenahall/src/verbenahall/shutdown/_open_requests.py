"""The requests that are open now."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from absl import logging
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class OpenRequests:
    """Counts an application's requests and cuts them if it must."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: set[asyncio.Task[object]] = set()

    @web.middleware
    async def count(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Count a request while it is answered; a middleware."""
        task = asyncio.current_task()
        if task is None:
            return await handler(request)
        self._tasks.add(task)
        try:
            return await handler(request)
        finally:
            self._tasks.discard(task)

    def count_open(self) -> int:
        """Return how many requests are being answered."""
        return len(self._tasks)

    def cut(self) -> None:
        """Cancel what is still open when the grace period is over."""
        if self._tasks:
            logging.warning('%d requests are cut', len(self._tasks))
        for task in tuple(self._tasks):
            task.cancel()
