"""Admission for asyncio: one lane for each model and each plain service."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import _decisions
from verbenahall.admission._messages import Effects, Ticket
from verbenahall.admission._state import AdmissionLimits, AdmissionState
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.fair_shares import Workspaces

#: Interval of the checks for expired requests, in seconds.
_EXPIRE_PERIOD_S: Final = 0.05

_Outcome = Result[None, Problem]


@final
class AdmissionController:
    """Admits requests to lanes.

    ``limits_of(lane)`` returns the limits of a lane. It is called on first use
    of the lane and by ``refresh_limits``.
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
        self._pending: dict[str, asyncio.Future[_Outcome]] = {}

    async def acquire(self, lane: str, ticket: Ticket) -> _Outcome:
        """Wait until the request may run; call ``release`` after it.

        Returns the problem if the request is rejected.
        """
        state = self._get_lane(lane)
        effects = _decisions.submit(state, ticket, self._clock())
        if ticket in effects.admitted:
            return Success(None)
        future = asyncio.get_running_loop().create_future()
        self._pending[ticket.request] = future
        self._apply(effects)
        try:
            return await future
        except asyncio.CancelledError:
            # The caller left. If its ticket stayed queued, it would be
            # admitted later and hold a slot for ever.
            if not _decisions.withdraw(state, ticket):
                self.release(lane, ticket)
            raise
        finally:
            self._pending.pop(ticket.request, None)

    def release(self, lane: str, ticket: Ticket) -> None:
        """End an admitted request and admit the next ones."""
        state = self._get_lane(lane)
        self._apply(_decisions.finish(state, ticket.request, self._clock()))

    def apply_workspaces(self, workspaces: Workspaces) -> None:
        """Set the shares and bounds of workspaces for all lanes."""
        self._workspaces = workspaces
        for state in self._lanes.values():
            state.workspaces = workspaces

    def refresh_limits(self) -> None:
        """Update the limits of all lanes."""
        for lane, state in self._lanes.items():
            limits = self._limits_of(lane)
            self._apply(_decisions.resize(state, limits))

    async def run(self) -> None:
        """Reject requests that expire while they wait, and update metrics."""
        while True:
            await asyncio.sleep(_EXPIRE_PERIOD_S)
            for state in self._lanes.values():
                self._apply(_decisions.expire(state, self._clock()))
            self._export_metrics()

    def _get_lane(self, lane: str) -> AdmissionState:
        state = self._lanes.get(lane)
        if state is None:
            limits = self._limits_of(lane)
            state = AdmissionState(limits, self._workspaces)
            self._lanes[lane] = state
        return state

    def _apply(self, effects: Effects) -> None:
        for ticket in effects.admitted:
            self._resolve(ticket, Success(None))
        for ticket, problem in effects.rejected:
            metrics.SHED.add(str(ticket.priority))
            self._resolve(ticket, Failure(problem))

    def _resolve(self, ticket: Ticket, outcome: _Outcome) -> None:
        future = self._pending.get(ticket.request)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _export_metrics(self) -> None:
        lanes = self._lanes.values()
        running = sum(len(lane.running) for lane in lanes)
        waiting = sum(lane.waiting for lane in lanes)
        metrics.IN_FLIGHT.set({}, running)
        metrics.QUEUED.set({}, waiting)
