"""Attempts of one request that are open together."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

from returns.result import Result

from verbenahall.clock import Clock
from verbenahall.front._progress import PlacedAttempt
from verbenahall.requests import Outcome

#: Time without an event after which an endpoint that counts as silent may get
#: a second attempt beside it, in seconds. Checks of an endpoint may fail while
#: its streams go on.
_MIN_SILENT_S: Final = 0.5

AnyResult = Result[Any, Outcome]


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """An attempt whose answer is awaited.

    ``last_event_at`` is the time of its last event, or of the send.
    ``is_recorded`` is whether its silence was counted as a failure of the
    endpoint.
    """

    placed: PlacedAttempt
    task: asyncio.Task[AnyResult]
    last_event_at: float
    is_recorded: bool = False


@final
class Race:
    """The open attempts of a request; the first with an answer stays.

    An endpoint that has fallen silent may go on, so its attempt stays open
    while another one is made. ``claim`` is called before an attempt's part of
    the answer is sent to the caller, and cancels all others::

        race = Race(clock)
        race.begin(placed, send(placed))
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
        placed: PlacedAttempt,
        sending: Coroutine[Any, Any, AnyResult],
    ) -> None:
        """Run an attempt beside those that are open."""
        task = asyncio.create_task(sending)
        task.add_done_callback(self._handle_done)
        self._tasks.append(task)
        self.open[placed.attempt] = OpenAttempt(placed, task, self._clock())

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
        return bool(self.open) and all(
            now - one.last_event_at >= _MIN_SILENT_S
            and is_unresponsive(one.placed.endpoint.name)
            for one in self.open.values()
        )

    def list_endpoints(self) -> frozenset[str]:
        """Return the names of the endpoints of the open attempts."""
        return frozenset(one.placed.endpoint.name for one in self.open.values())

    def take_unrecorded(self) -> list[PlacedAttempt]:
        """Return the attempts whose silence isn't counted; mark it counted."""
        unrecorded = []
        for attempt in self.open.values():
            if not attempt.is_recorded:
                attempt.is_recorded = True
                unrecorded.append(attempt.placed)
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
        ended = [one for one in self.open.values() if one.task.done()]
        for one in ended:
            self.open.pop(one.placed.attempt)
        return ended

    async def close(self) -> None:
        """Cancel all attempts, and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[AnyResult]) -> None:
        self._changed.set()
