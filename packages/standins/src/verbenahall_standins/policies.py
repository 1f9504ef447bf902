"""The policies that the bench compares, behind one interface.

``Ours`` holds no decisions of its own: it calls ``verbenahall.routing``,
``verbenahall.load`` and ``verbenahall.roles`` as an instance does, with one
state for each instance and one planner for each data centre.
"""

import itertools
import random
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall import roles, routing
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import (
    LoadState,
    Report,
    note_finished,
    note_sent,
    observe_report,
)
from verbenahall_standins import cost
from verbenahall_standins.simulation import (
    INSTANCES_PER_SITE,
    Engine,
    Outcome,
    list_sites,
)
from verbenahall_standins.traces import Arrival, Workload

_FULL_BATCH: Final = 32
_TYPICAL_CONTEXT: Final = 1000
#: Prompt and output tokens that make one typical request.
_TYPICAL_PROMPT: Final = 512
_TYPICAL_OUTPUT: Final = 128
#: The reactive policy acts when prefill's share leaves this band around the
#: share of engines that are in the prefill role.
_BAND: Final = 0.1
_WINDOW_S: Final = 5.0

Loads = Mapping[str, tuple[int, int]]


class Naive:
    """Round robin over all engines, roles as they are."""

    def __init__(self) -> None:
        """Start at the first engine."""
        self._numbers = itertools.count()

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Take the next engine."""
        return engines[next(self._numbers) % len(engines)].name

    def finish(self, instance: int, outcome: Outcome, now: float) -> None:
        """Learn nothing."""

    def report(self, loads: Loads, now: float) -> None:
        """Learn nothing."""

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change no role."""
        return {}


class LeastLoad(Naive):
    """The least reported load, roles as they are."""

    def __init__(self) -> None:
        """Start without reports."""
        super().__init__()
        self._loads: Loads = {}

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Take the engine with the least reported load, the first of equals."""
        return min(engines, key=self._read_load).name

    def report(self, loads: Loads, now: float) -> None:
        """Keep the reports."""
        self._loads = loads

    def _read_load(self, engine: Engine) -> int:
        return sum(self._loads.get(engine.name, ()))


class Reactive(LeastLoad):
    """Least load within roles that follow the recent mix at once.

    Each second one engine changes when prefill's share of the last five
    seconds' work has left the share of prefill engines by a tenth.
    """

    def __init__(self) -> None:
        """Start with no arrivals seen."""
        super().__init__()
        self._recent: list[tuple[float, float, float]] = []

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Keep long prompts on prefill engines and the rest off them."""
        prefill_s = cost.prefill_s(arrival.prompt)
        decode_s = arrival.output / _decode_rate()
        self._recent.append((now, prefill_s, decode_s))
        wanted = Role.PREFILL if prefill_s > decode_s else Role.MIXED
        fitting = [engine for engine in engines if engine.batch.role is wanted]
        return super().choose(instance, arrival, fitting or engines, now)

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change one engine towards the recent mix."""
        oldest = now - _WINDOW_S
        self._recent = [row for row in self._recent if row[0] > oldest]
        prefilling = [engine for engine in engines if _is_prefill(engine)]
        others = [engine for engine in engines if engine not in prefilling]
        off = self._find_share() - len(prefilling) / len(engines)
        if off < -_BAND and prefilling:
            return {prefilling[0].name: Role.MIXED}
        if off > _BAND and len(others) > 1:
            return {others[0].name: Role.PREFILL}
        return {}

    def _find_share(self) -> float:
        """Return prefill's share of the recent work."""
        prefill_s = sum(row[1] for row in self._recent)
        decode_s = sum(row[2] for row in self._recent)
        return prefill_s / (prefill_s + decode_s or 1)


def _is_prefill(engine: Engine) -> bool:
    return (engine.wanted or engine.batch.role) is Role.PREFILL


class Ours:
    """The product's own decision functions."""

    def __init__(self, workload: Workload, seed: int) -> None:
        """Make the states that each instance and each planner has."""
        self._workload = workload
        sites = list(workload.engines)
        self._sites = [
            site for site in sites for _ in range(INSTANCES_PER_SITE)
        ]
        self._routers = [
            routing.RoutingState(
                f'{site}-{number}',
                site,
                random.Random(f'{seed}-{number}'),
            )
            for number, site in enumerate(self._sites)
        ]
        self._loads = [LoadState() for _ in self._sites]
        self._demands = {site: roles.DemandState(0) for site in sites}
        self._planners = {site: roles.PlannerState(0) for site in sites}

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Choose as the instance's front does."""
        question = routing.Question(
            str(arrival.number),
            arrival.prompt,
            arrival.output,
        )
        state = self._loads[instance]
        router = self._routers[instance]
        choice = routing.choose(
            router,
            question,
            [_describe(engine) for engine in engines],
            state,
            now,
        ).unwrap()
        name = choice.endpoint.name
        work = arrival.prompt / _TYPICAL_PROMPT
        work += arrival.output / _TYPICAL_OUTPUT
        note_sent(state, name, question.request, work, now)
        demand = self._demands[router.data_centre]
        roles.note_arrival(demand, arrival.prompt, arrival.output, now)
        return name

    def finish(self, instance: int, outcome: Outcome, now: float) -> None:
        """Count the attempt as over."""
        identity = str(outcome.arrival.number)
        state = self._loads[instance]
        note_finished(state, outcome.engine, identity, now)

    def report(self, loads: Loads, now: float) -> None:
        """Hand the reports to every instance."""
        for name, (running, queued) in loads.items():
            found = Report(running, queued)
            for state in self._loads:
                observe_report(state, name, found, now)

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Let each data centre's planner decide."""
        wanted: dict[str, Role] = {}
        for site in list_sites(engines):
            own = [engine for engine in engines if engine.site == site]
            wanted.update(self._plan_site(site, own, now))
        return wanted

    def _plan_site(
        self,
        site: str,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        seen = roles.Observation(
            pool=site,
            demand=roles.read_demand(self._demands[site], now),
            engines=tuple(map(_observe, engines)),
            goodput_weight=self._workload.goodput_weight,
            change_weight=self._workload.change_weight,
        )
        plan = roles.decide(
            self._planners[site],
            seen,
            roles.DEFAULT_PROFILE,
            now,
        )
        return plan.roles


def _observe(engine: Engine) -> roles.EngineNow:
    role = engine.wanted or engine.batch.role
    return roles.EngineNow(engine.name, role, engine.batch.running)


def _decode_rate() -> float:
    """Return tokens a second of one engine that only decodes."""
    context = _FULL_BATCH * _TYPICAL_CONTEXT
    return _FULL_BATCH / cost.step_s(_FULL_BATCH, context)


def _describe(engine: Engine) -> routing.Candidate:
    endpoint = Endpoint(
        engine.name,
        EndpointKind.ENGINE,
        '',
        engine.site,
        '1',
    )
    return routing.Candidate(endpoint, engine.batch.role)
