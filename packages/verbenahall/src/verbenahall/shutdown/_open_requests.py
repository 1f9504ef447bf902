"""Tracks the open requests of an application."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Final, final

from absl import logging
from aiohttp import web

from verbenahall.errors import ErrorKind, Problem
from verbenahall.front import (
    Connection,
    build_error_response,
    stop_lingering,
)

#: What callers are told whose requests are cut off.
CUT_MESSAGE: Final = 'the instance has stopped before the answer was complete'
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def may_answer(request: web.Request) -> bool:
    """End the cancellation of a request if it can still be answered.

    A request that is cut off gets an answer instead of a closed connection,
    unless a part of one was sent.
    """
    task = asyncio.current_task()
    if task is None or request.writer.output_size:
        return False
    task.uncancel()
    if isinstance(request.protocol, Connection):
        # The process ends before the rest of a body might come.
        stop_lingering(request.protocol)
    return True


@final
class OpenRequests:
    """Counts the open requests of an application, and can cancel them.

    A request is open until the system has taken the last byte of its answer.
    What a slow caller has not received yet may wait in a buffer of the process,
    and would be lost if the process ended.
    """

    __slots__ = ('_cut', '_sending', '_tasks')

    def __init__(self) -> None:
        """Start without open requests."""
        self._cut: set[asyncio.Task[object]] = set()
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
        try:
            return await handler(request)
        except asyncio.CancelledError:
            if task not in self._cut or not may_answer(request):
                raise
        # Whether an endpoint has run it is not known here.
        return build_error_response(
            Problem(ErrorKind.OUTCOME_UNKNOWN, CUT_MESSAGE)
        )

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
            self._cut.add(task)
            task.cancel()

    def _end_task(
        self,
        transport: asyncio.WriteTransport | None,
        task: asyncio.Task[object],
    ) -> None:
        self._tasks.discard(task)
        self._cut.discard(task)
        if transport is not None and transport.get_write_buffer_size():
            self._forget_sent()
            self._sending.add(transport)

    def _forget_sent(self) -> None:
        self._sending = {
            one for one in self._sending if one.get_write_buffer_size()
        }
