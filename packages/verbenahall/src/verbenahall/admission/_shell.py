"""Waits on admission: one lane for each model and each plain service."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import _decisions
from verbenahall.admission._messages import Effects, Ticket
from verbenahall.admission._state import (
    AdmissionLimits,
    AdmissionState,
    Workspaces,
)
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem

_EXPIRE_PERIOD_S: Final = 0.05

_Verdict = Result[None, Problem]


@final
class RateLimiter:
    """Admits requests lane by lane.

    ``limits_of(lane)`` gives a lane's bounds at its first use, and again
    whenever ``refresh`` is called.
    """

    def __init__(
        self,
        limits_of: Callable[[str], AdmissionLimits],
        clock: Clock = monotonic,
    ) -> None:
        """Start without lanes."""
        self._limits_of = limits_of
        self._clock = clock
        self._lanes: dict[str, AdmissionState] = {}
        self._workspaces: Workspaces = {}
        self._waits: dict[str, asyncio.Future[_Verdict]] = {}

    async def enter(self, lane: str, ticket: Ticket) -> _Verdict:
        """Wait until the request may run; it must ``leave`` afterwards."""
        state = self._find_lane(lane)
        effects = _decisions.ask(state, ticket, self._clock())
        if ticket in effects.admitted:
            return Success(None)
        wait = asyncio.get_running_loop().create_future()
        self._waits[ticket.request] = wait
        self._apply(effects)
        try:
            return await wait
        except asyncio.CancelledError:
            # The caller went away. Left in place, its ticket would be
            # admitted to nobody and hold a slot for ever.
            if not _decisions.withdraw(state, ticket):
                self.leave(lane, ticket)
            raise
        finally:
            self._waits.pop(ticket.request, None)

    def leave(self, lane: str, ticket: Ticket) -> None:
        """End an admitted request and let the next ones in."""
        state = self._find_lane(lane)
        self._apply(_decisions.finish(state, ticket.request, self._clock()))

    def apply_workspaces(self, workspaces: Workspaces) -> None:
        """Take the workspaces' shares and bounds for all lanes."""
        self._workspaces = workspaces
        for state in self._lanes.values():
            state.workspaces = workspaces

    def refresh(self) -> None:
        """Take the lanes' present limits."""
        for lane, state in self._lanes.items():
            limits = self._limits_of(lane)
            self._apply(_decisions.resize(state, limits))

    async def run(self) -> None:
        """Give up requests whose deadline passes while they wait."""
        while True:
            await asyncio.sleep(_EXPIRE_PERIOD_S)
            for state in self._lanes.values():
                self._apply(_decisions.expire(state, self._clock()))
            self._show()

    def _find_lane(self, lane: str) -> AdmissionState:
        state = self._lanes.get(lane)
        if state is None:
            limits = self._limits_of(lane)
            state = AdmissionState(limits, self._workspaces)
            self._lanes[lane] = state
        return state

    def _apply(self, effects: Effects) -> None:
        for ticket in effects.admitted:
            self._settle(ticket, Success(None))
        for ticket, problem in effects.given_up:
            metrics.SHED.add(str(ticket.priority))
            self._settle(ticket, Failure(problem))

    def _settle(self, ticket: Ticket, verdict: _Verdict) -> None:
        wait = self._waits.get(ticket.request)
        if wait is not None and not wait.done():
            wait.set_result(verdict)

    def _show(self) -> None:
        lanes = self._lanes.values()
        running = sum(len(lane.running) for lane in lanes)
        waiting = sum(lane.waiting for lane in lanes)
        metrics.IN_FLIGHT.set({}, running)
        metrics.QUEUED.set({}, waiting)
