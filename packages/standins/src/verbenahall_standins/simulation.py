"""Discrete-event simulation of engines to compare policies on one trace.

It models neither a network nor failures. Each engine runs the same ``Batch``
as the engine stand-in.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, Protocol

from verbenahall.fleet import Role
from verbenahall_standins import cost
from verbenahall_standins.batch import Batch, Job, Step
from verbenahall_standins.traces import Arrival, Workload

#: Interval between load reports, which is also their age on delivery.
REPORT_INTERVAL_S: Final = 0.5
#: Interval between two plans of the roles.
PLAN_INTERVAL_S: Final = 1.0
INSTANCES_PER_DATA_CENTRE: Final = 3


#: Jobs running and queued, by engine.
Loads = Mapping[str, tuple[int, int]]
#: Time, tie-breaking number, callback, and its argument.
_Event = tuple[float, int, Any, Any]


class Engine:
    """One engine with its batch."""

    __slots__ = ('batch', 'busy', 'data_centre', 'name', 'next_role')

    def __init__(self, name: str, data_centre: str) -> None:
        """Start idle in the mixed role."""
        self.name = name
        self.data_centre = data_centre
        self.batch = Batch(Role.MIXED)
        self.busy = False
        #: The new role while a role change is under way, else None.
        self.next_role: Role | None = None

    @property
    def load(self) -> int:
        """Number of jobs running and queued."""
        return self.batch.running + self.batch.queued


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one request; a time is None if it was not reached."""

    arrival: Arrival
    engine: str
    first_token_at: float | None = None
    last_token_at: float | None = None

    @property
    def is_good(self) -> bool:
        """Whether the answer was complete by the due time."""
        return (
            self.last_token_at is not None
            and self.last_token_at <= self.arrival.due_at
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Roles and queue length of the fleet at one time."""

    at: float
    roles: tuple[Role, ...]
    queued: int


class Policy(Protocol):
    """Chooses an engine for each request and roles for the engines."""

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Return the name of one of ``engines``, which are in service."""

    def handle_finished(
        self, instance: int, outcome: Outcome, now: float
    ) -> None:
        """Handle the end of a request, answered or expired."""

    def handle_reports(self, loads: Loads, now: float) -> None:
        """Handle reports by engine, which are ``REPORT_INTERVAL_S`` old."""

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Return new roles by engine; engines left out keep their role."""


class Simulation:
    """Runs one policy on one trace."""

    __slots__ = (
        '_engines',
        '_events',
        '_in_flight',
        '_instances',
        '_numbers',
        '_policy',
        '_reports',
        'changes',
        'outcomes',
        'samples',
    )

    def __init__(self, workload: Workload, policy: Policy) -> None:
        """Start with all engines idle in the mixed role."""
        self._engines = {
            engine.name: engine for engine in build_engines(workload)
        }
        self._policy = policy
        self._instances = INSTANCES_PER_DATA_CENTRE * len(workload.engines)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._in_flight: dict[str, Outcome] = {}
        self._reports = self._read_loads()
        self.changes = 0
        self.outcomes: list[Outcome] = []
        self.samples: list[Sample] = []

    def run(self, trace: Sequence[Arrival]) -> None:
        """Run until every request is answered or expired."""
        for arrival in trace:
            self._schedule(arrival.at, self._handle_arrival, arrival)
        end = trace[-1].due_at
        self._schedule(0, self._deliver_reports, end)
        self._schedule(0, self._change_roles, end)
        while self._events:
            now, _, callback, argument = heapq.heappop(self._events)
            callback(argument, now)

    def _schedule(
        self, at: float, callback: Callable[..., None], argument: Any
    ) -> None:
        heapq.heappush(
            self._events, (at, next(self._numbers), callback, argument)
        )

    def _handle_arrival(self, arrival: Arrival, now: float) -> None:
        engines = tuple(self._engines.values())
        serving = [engine for engine in engines if engine.next_role is None]
        instance = arrival.number % self._instances
        name = self._policy.choose(instance, arrival, serving or engines, now)
        outcome = Outcome(arrival, name)
        self.outcomes.append(outcome)
        self._in_flight[str(arrival.number)] = outcome
        job = Job(
            str(arrival.number),
            arrival.priority,
            arrival.prompt,
            arrival.output,
        )
        self._engines[name].batch.add(job)
        self._schedule(arrival.due_at, self._expire, outcome)
        self._start_step(self._engines[name], now)

    def _expire(self, outcome: Outcome, now: float) -> None:
        """Cancel a request that is not answered at its due time."""
        job_id = str(outcome.arrival.number)
        if self._in_flight.pop(job_id, None):
            self._engines[outcome.engine].batch.cancel(job_id)
            self._finish(outcome, now)

    def _finish(self, outcome: Outcome, now: float) -> None:
        instance = outcome.arrival.number % self._instances
        self._policy.handle_finished(instance, outcome, now)

    def _start_step(self, engine: Engine, now: float) -> None:
        if engine.busy:
            return
        if not engine.batch.is_idle:
            engine.busy = True
            step = engine.batch.step()
            self._schedule(
                now + step.duration_s, self._end_step, (engine, step)
            )
        elif engine.next_role is not None:
            engine.busy = True
            self._schedule(
                now + cost.ROLE_CHANGE_S, self._end_role_change, engine
            )

    def _end_step(self, argument: tuple[Engine, Step], now: float) -> None:
        engine, step = argument
        for job in step.produced:
            if job.produced == 1 and job.job_id in self._in_flight:
                self._in_flight[job.job_id].first_token_at = now
        for done in step.finished:
            outcome = self._in_flight.pop(done.job_id, None)
            if outcome is not None:
                outcome.last_token_at = now
                self._finish(outcome, now)
        engine.busy = False
        self._start_step(engine, now)

    def _end_role_change(self, engine: Engine, now: float) -> None:
        engine.batch.role = engine.next_role or engine.batch.role
        engine.next_role = None
        engine.busy = False
        self._start_step(engine, now)

    def _deliver_reports(self, end: float, now: float) -> None:
        self._policy.handle_reports(self._reports, now)
        self._reports = self._read_loads()
        if now < end:
            self._schedule(now + REPORT_INTERVAL_S, self._deliver_reports, end)

    def _read_loads(self) -> dict[str, tuple[int, int]]:
        return {
            name: (engine.batch.running, engine.batch.queued)
            for name, engine in self._engines.items()
        }

    def _change_roles(self, end: float, now: float) -> None:
        engines = tuple(self._engines.values())
        planned = self._policy.plan(engines, now)
        for engine in engines:
            role = planned.get(engine.name, engine.batch.role)
            if engine.next_role is None and role is not engine.batch.role:
                engine.next_role = role
                self.changes += 1
                self._start_step(engine, now)
        self.samples.append(take_sample(engines, now))
        if now < end:
            self._schedule(now + PLAN_INTERVAL_S, self._change_roles, end)


def take_sample(engines: Sequence[Engine], now: float) -> Sample:
    """Return a sample of the engines."""
    roles = tuple(engine.batch.role for engine in engines)
    queued = sum(engine.batch.queued for engine in engines)
    return Sample(now, roles, queued)


def build_engines(workload: Workload) -> list[Engine]:
    """Return the engines of a workload, grouped by data centre."""
    engines = []
    for data_centre, count in workload.engines.items():
        names = [f'{data_centre}-engine-{number}' for number in range(count)]
        engines.extend(Engine(name, data_centre) for name in names)
    return engines


def list_data_centres(engines: Sequence[Engine]) -> list[str]:
    """Return the data centres in order of first appearance."""
    return list(dict.fromkeys(engine.data_centre for engine in engines))
