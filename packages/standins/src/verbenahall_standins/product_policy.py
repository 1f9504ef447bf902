"""The decisions of the product, behind the policy interface.

``ProductPolicy`` makes no decisions itself: it calls ``verbenahall.routing``,
``verbenahall.load`` and ``verbenahall.roles`` as an instance does, with one
state for each instance and one role planner for each data centre.
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
    INSTANCES_PER_DATA_CENTRE,
    Engine,
    Loads,
    Outcome,
    list_data_centres,
)
from verbenahall_standins.traces import Arrival, Workload

#: Tokens of a typical prompt and output, in which work is counted.
_TYPICAL_PROMPT: Final = 512
_TYPICAL_OUTPUT: Final = 128


class ProductPolicy:
    """Routes and plans roles with the product's decision functions."""

    def __init__(self, workload: Workload, seed: int) -> None:
        """Create the state of each instance and of each planner."""
        self._workload = workload
        data_centres = list(workload.engines)
        self._data_centres = [
            data_centre
            for data_centre in data_centres
            for _ in range(INSTANCES_PER_DATA_CENTRE)
        ]
        self._routers = [
            routing.RoutingState(
                f'{data_centre}-{number}',
                data_centre,
                random.Random(f'{seed}-{number}'),
            )
            for number, data_centre in enumerate(self._data_centres)
        ]
        self._loads = [LoadState() for _ in self._data_centres]
        self._demands = {
            data_centre: roles.DemandState(0) for data_centre in data_centres
        }
        self._planners = {
            data_centre: roles.PlannerState(0) for data_centre in data_centres
        }

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Choose an engine as the instance does for a request."""
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

    def handle_finished(
        self, instance: int, outcome: Outcome, now: float
    ) -> None:
        """Record the end of the request in the load of its engine."""
        request = str(outcome.arrival.number)
        state = self._loads[instance]
        record_finished(state, outcome.engine, request, now)

    def handle_reports(self, loads: Loads, now: float) -> None:
        """Record the reports at every instance."""
        for name, (running, queued) in loads.items():
            report = Report(running, queued)
            for state in self._loads:
                record_report(state, name, report, now)

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Return the roles planned by each data centre's planner."""
        planned: dict[str, Role] = {}
        for data_centre in list_data_centres(engines):
            own = [
                engine
                for engine in engines
                if engine.data_centre == data_centre
            ]
            planned.update(self._plan_data_centre(data_centre, own, now))
        return planned

    def _plan_data_centre(
        self,
        data_centre: str,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        observation = roles.Observation(
            pool=data_centre,
            demand=roles.estimate_demand(self._demands[data_centre], now),
            engines=tuple(map(_observe, engines)),
            goodput_weight=self._workload.goodput_weight,
            change_weight=self._workload.change_weight,
        )
        plan = roles.decide(
            self._planners[data_centre],
            observation,
            roles.DEFAULT_PROFILE,
            now,
        )
        return plan.roles


def _observe(engine: Engine) -> roles.EngineStatus:
    role = engine.next_role or engine.batch.role
    return roles.EngineStatus(engine.name, role, engine.batch.running)


def _describe(engine: Engine) -> routing.Candidate:
    endpoint = Endpoint(
        engine.name,
        EndpointKind.ENGINE,
        '',
        engine.data_centre,
        '1',
    )
    return routing.Candidate(endpoint, engine.batch.role)
