"""Attempts of one request that are open together."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

from returns.result import Result

from verbenahall.clock import Clock
from verbenahall.fleet import Endpoint
from verbenahall.requests import Outcome

#: Time without an event after which an endpoint that counts as silent may get
#: a second attempt beside it, in seconds. Checks of an endpoint may fail while
#: its streams go on.
_MIN_SILENT_S: Final = 0.5

#: Stands for the attempt ID of a request that a peer serves.
AT_PEER: Final = 'peer'

AnyResult = Result[Any, Outcome]


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """An attempt whose answer is awaited.

    ``endpoint`` is None if a peer chooses it. ``last_event_at`` is the time of
    the last event, or of the send. ``is_recorded`` is whether its silence was
    counted as a failure of the endpoint.
    """

    endpoint: Endpoint | None
    task: asyncio.Task[AnyResult]
    last_event_at: float
    is_recorded: bool = False

    def is_silent(
        self, now: float, is_unresponsive: Callable[[str], bool]
    ) -> bool:
        """Whether its endpoint is silent; a peer handles that itself."""
        if self.endpoint is None or now - self.last_event_at < _MIN_SILENT_S:
            return False
        return is_unresponsive(self.endpoint.name)


@final
class Race:
    """The open attempts of a request; the first with an answer stays.

    An endpoint that has fallen silent may go on, so its attempt stays open
    while another one is made. ``claim`` is called before an attempt's part of
    the answer is sent to the caller, and cancels all others::

        race = Race(clock)
        race.begin(attempt, endpoint, send(attempt, endpoint))
        await race.wait()
        ended = race.take_ended()
        await race.close()
    """

    __slots__ = ('open', '_changed', '_clock', '_tasks')

    def __init__(self, clock: Clock) -> None:
        """Start without attempts."""
        self.open: dict[str, OpenAttempt] = {}
        self._changed = asyncio.Event()
        self._clock = clock
        self._tasks: list[asyncio.Task[AnyResult]] = []

    def begin(
        self,
        attempt: str,
        endpoint: Endpoint | None,
        sending: Coroutine[Any, Any, AnyResult],
    ) -> None:
        """Run an attempt beside those that are open."""
        task = asyncio.create_task(sending)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)
        self.open[attempt] = OpenAttempt(endpoint, task, self._clock())

    def claim(self, attempt: str) -> None:
        """Record an event of an attempt, and cancel all others."""
        winner = self.open[attempt]
        winner.last_event_at = self._clock()
        for other in self.open.values():
            if other is not winner:
                other.task.cancel()
        self.open = {attempt: winner}

    def is_silent(self, is_unresponsive: Callable[[str], bool]) -> bool:
        """Whether the endpoints of all open attempts are silent."""
        now = self._clock()
        attempts = self.open.values()
        silent = [one.is_silent(now, is_unresponsive) for one in attempts]
        return bool(silent) and all(silent)

    def list_endpoints(self) -> frozenset[str]:
        """Return the names of the endpoints of the open attempts."""
        endpoints = [one.endpoint for one in self.open.values()]
        return frozenset(one.name for one in endpoints if one is not None)

    def take_unrecorded(self) -> list[Endpoint]:
        """Return the endpoints whose silence isn't counted; mark it counted."""
        unrecorded = []
        for attempt in self.open.values():
            if attempt.endpoint is not None and not attempt.is_recorded:
                attempt.is_recorded = True
                unrecorded.append(attempt.endpoint)
        return unrecorded

    def wake(self) -> None:
        """Let ``wait`` return."""
        self._changed.set()

    async def wait(self) -> None:
        """Wait until an attempt has ended, or ``wake`` is called."""
        await self._changed.wait()
        self._changed.clear()

    def take_ended(self) -> list[OpenAttempt]:
        """Remove and return the attempts that have ended."""
        ended = []
        for key, attempt in tuple(self.open.items()):
            if attempt.task.done():
                ended.append(self.open.pop(key))
        return ended

    async def close(self) -> None:
        """Cancel all attempts, and wait until they have ended.

        The tasks refer to the request, which refers to the race.
        """
        unfinished = [task for task in self._tasks if task.cancel()]
        self._tasks.clear()
        if unfinished:
            await asyncio.gather(*unfinished, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[AnyResult]) -> None:
        self._changed.set()
