"""A small event loop over batches, to compare policies on one trace.

It is no simulator of a cluster: there is no network and nothing fails. Each
engine is the same ``Batch`` that the engine stand-in runs.
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

REPORT_S: Final = 0.5
PLAN_S: Final = 1.0
INSTANCES_PER_SITE: Final = 3


#: Jobs running and queued, by engine.
Loads = Mapping[str, tuple[int, int]]
#: When, a tie-breaking number, what is called, and what it is given.
_Event = tuple[float, int, Any, Any]


class Engine:
    """One engine: its batch, and whether a role change is under way."""

    __slots__ = ('batch', 'busy', 'name', 'site', 'wanted')

    def __init__(self, name: str, site: str) -> None:
        """Start mixed and idle."""
        self.name = name
        self.site = site
        self.batch = Batch(Role.MIXED)
        self.busy = False
        #: The role that a change leads to, None while none is under way.
        self.wanted: Role | None = None

    @property
    def load(self) -> int:
        """Jobs running and queued."""
        return self.batch.running + self.batch.queued


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request; times are None until they are known."""

    arrival: Arrival
    engine: str
    first_at: float | None = None
    last_at: float | None = None

    @property
    def is_good(self) -> bool:
        """Whether the whole answer came in time."""
        return self.last_at is not None and self.last_at <= self.arrival.due


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The fleet at one moment."""

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
        """Return the engine's name; ``engines`` are those in service."""

    def finish(self, instance: int, outcome: Outcome, now: float) -> None:
        """Note that a request is over."""

    def report(self, loads: Loads, now: float) -> None:
        """Take reports, which are ``REPORT_S`` old, by engine."""

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Return wanted roles; engines left out keep theirs."""


class Simulation:
    """One policy's run over one trace."""

    __slots__ = (
        '_engines',
        '_events',
        '_instances',
        '_numbers',
        '_open',
        '_policy',
        '_reports',
        'changes',
        'outcomes',
        'samples',
    )

    def __init__(self, workload: Workload, policy: Policy) -> None:
        """Start with every engine mixed and idle."""
        self._engines = {
            engine.name: engine for engine in build_engines(workload)
        }
        self._policy = policy
        self._instances = INSTANCES_PER_SITE * len(workload.engines)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._open: dict[str, Outcome] = {}
        self._reports = self._read_loads()
        self.changes = 0
        self.outcomes: list[Outcome] = []
        self.samples: list[Sample] = []

    def run(self, trace: Sequence[Arrival]) -> None:
        """Run until every request is answered or given up."""
        for arrival in trace:
            self._at(arrival.at, self._arrive, arrival)
        end = trace[-1].due
        self._at(0, self._report, end)
        self._at(0, self._plan, end)
        while self._events:
            now, _, act, given = heapq.heappop(self._events)
            act(given, now)

    def _at(self, at: float, act: Callable[..., None], given: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, given))

    def _arrive(self, arrival: Arrival, now: float) -> None:
        every = tuple(self._engines.values())
        serving = [engine for engine in every if engine.wanted is None]
        instance = arrival.number % self._instances
        name = self._policy.choose(instance, arrival, serving or every, now)
        outcome = Outcome(arrival, name)
        self.outcomes.append(outcome)
        self._open[str(arrival.number)] = outcome
        job = Job(
            str(arrival.number),
            arrival.priority,
            arrival.prompt,
            arrival.output,
        )
        self._engines[name].batch.add(job)
        self._at(arrival.due, self._expire, outcome)
        self._start_step(self._engines[name], now)

    def _expire(self, outcome: Outcome, now: float) -> None:
        """Give up: the caller has gone, and the engine's work is cancelled."""
        identity = str(outcome.arrival.number)
        if self._open.pop(identity, None):
            self._engines[outcome.engine].batch.cancel(identity)
            self._finish(outcome, now)

    def _finish(self, outcome: Outcome, now: float) -> None:
        instance = outcome.arrival.number % self._instances
        self._policy.finish(instance, outcome, now)

    def _start_step(self, engine: Engine, now: float) -> None:
        if engine.busy:
            return
        if not engine.batch.is_idle:
            engine.busy = True
            step = engine.batch.step()
            self._at(now + step.duration_s, self._end_step, (engine, step))
        elif engine.wanted is not None:
            engine.busy = True
            self._at(now + cost.ROLE_CHANGE_S, self._end_change, engine)

    def _end_step(self, given: tuple[Engine, Step], now: float) -> None:
        engine, step = given
        for job in step.produced:
            if job.produced == 1 and job.identity in self._open:
                self._open[job.identity].first_at = now
        for done in step.finished:
            outcome = self._open.pop(done.identity, None)
            if outcome is not None:
                outcome.last_at = now
                self._finish(outcome, now)
        engine.busy = False
        self._start_step(engine, now)

    def _end_change(self, engine: Engine, now: float) -> None:
        engine.batch.role = engine.wanted or engine.batch.role
        engine.wanted = None
        engine.busy = False
        self._start_step(engine, now)

    def _report(self, end: float, now: float) -> None:
        self._policy.report(self._reports, now)
        self._reports = self._read_loads()
        if now < end:
            self._at(now + REPORT_S, self._report, end)

    def _read_loads(self) -> dict[str, tuple[int, int]]:
        return {
            name: (engine.batch.running, engine.batch.queued)
            for name, engine in self._engines.items()
        }

    def _plan(self, end: float, now: float) -> None:
        every = tuple(self._engines.values())
        wanted = self._policy.plan(every, now)
        for engine in every:
            role = wanted.get(engine.name, engine.batch.role)
            if engine.wanted is None and role is not engine.batch.role:
                engine.wanted = role
                self.changes += 1
                self._start_step(engine, now)
        self.samples.append(take_sample(every, now))
        if now < end:
            self._at(now + PLAN_S, self._plan, end)


def take_sample(engines: Sequence[Engine], now: float) -> Sample:
    """Return what the fleet looks like."""
    roles = tuple(engine.batch.role for engine in engines)
    queued = sum(engine.batch.queued for engine in engines)
    return Sample(now, roles, queued)


def build_engines(workload: Workload) -> list[Engine]:
    """Return the engines of a workload, by data centre."""
    engines = []
    for site, count in workload.engines.items():
        names = [f'{site}-engine-{number}' for number in range(count)]
        engines.extend(Engine(name, site) for name in names)
    return engines


def list_sites(engines: Sequence[Engine]) -> list[str]:
    """Return the data centres in order."""
    return list(dict.fromkeys(engine.site for engine in engines))
