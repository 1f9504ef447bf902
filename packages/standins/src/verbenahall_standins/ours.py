"""The product's own decisions, behind the interface of the policies.

``Ours`` decides nothing itself: it calls ``verbenahall.routing``,
``verbenahall.load`` and ``verbenahall.roles`` as an instance does, with one
state for each instance and one planner for each data centre.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall import roles, routing
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.load import (
    LoadState,
    Report,
    record_finished,
    record_sent,
    record_report,
)
from verbenahall_standins.simulation import (
    INSTANCES_PER_SITE,
    Engine,
    Loads,
    Outcome,
    list_sites,
)
from verbenahall_standins.traces import Arrival, Workload

#: Prompt and output tokens that make one typical request.
_TYPICAL_PROMPT: Final = 512
_TYPICAL_OUTPUT: Final = 128


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
        routing_request = routing.RoutingRequest(
            str(arrival.number),
            arrival.prompt,
            arrival.output,
        )
        state = self._loads[instance]
        router = self._routers[instance]
        choice = routing.choose_endpoint(
            router,
            routing_request,
            [_describe(engine) for engine in engines],
            state,
            now,
        ).unwrap()
        name = choice.endpoint.name
        work = arrival.prompt / _TYPICAL_PROMPT
        work += arrival.output / _TYPICAL_OUTPUT
        record_sent(state, name, routing_request.request, work, now)
        demand = self._demands[router.data_centre]
        roles.record_arrival(demand, arrival.prompt, arrival.output, now)
        return name

    def finish(self, instance: int, outcome: Outcome, now: float) -> None:
        """Count the attempt as over."""
        identity = str(outcome.arrival.number)
        state = self._loads[instance]
        record_finished(state, outcome.engine, identity, now)

    def report(self, loads: Loads, now: float) -> None:
        """Hand the reports to every instance."""
        for name, (running, queued) in loads.items():
            found = Report(running, queued)
            for state in self._loads:
                record_report(state, name, found, now)

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
            demand=roles.estimate_demand(self._demands[site], now),
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


def _observe(engine: Engine) -> roles.EngineStatus:
    role = engine.wanted or engine.batch.role
    return roles.EngineStatus(engine.name, role, engine.batch.running)


def _describe(engine: Engine) -> routing.Candidate:
    endpoint = Endpoint(
        engine.name,
        EndpointKind.ENGINE,
        '',
        engine.site,
        '1',
    )
    return routing.Candidate(endpoint, engine.batch.role)
