"""Tracks the open requests of an application."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import final

from absl import logging
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class OpenRequests:
    """Counts the open requests of an application, and can cancel them.

    A request is open until the system has taken the last byte of its answer.
    What a slow caller has not received yet may wait in a buffer of the process,
    and would be lost if the process ended.
    """

    __slots__ = ('_sending', '_tasks')

    def __init__(self) -> None:
        """Start without open requests."""
        self._tasks: set[asyncio.Task[object]] = set()
        self._sending: set[asyncio.WriteTransport] = set()

    @web.middleware
    async def count(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Middleware that counts a request until its answer is sent."""
        task = asyncio.current_task()
        if task is not None:
            # The task goes on after the middleware: it writes the answer.
            self._tasks.add(task)
            end = functools.partial(self._end_task, request.transport)
            task.add_done_callback(end)
        return await handler(request)

    def count_open(self) -> int:
        """Return the number of open requests."""
        self._forget_sent()
        return len(self._tasks) + len(self._sending)

    def cancel_all(self) -> None:
        """Cancel the requests that are open at the end of the grace period."""
        if self._tasks:
            logging.warning(
                'cancelling %d requests at the end of the grace period',
                len(self._tasks),
            )
        for task in tuple(self._tasks):
            task.cancel()

    def _end_task(
        self,
        transport: asyncio.WriteTransport | None,
        task: asyncio.Task[object],
    ) -> None:
        self._tasks.discard(task)
        if transport is not None and transport.get_write_buffer_size():
            self._forget_sent()
            self._sending.add(transport)

    def _forget_sent(self) -> None:
        self._sending = {
            one for one in self._sending if one.get_write_buffer_size()
        }
