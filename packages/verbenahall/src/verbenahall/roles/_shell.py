"""Plans the roles of automatic pools while this process holds the lease."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Protocol, final

from verbenahall import journal
from verbenahall.clock import Clock, monotonic
from verbenahall.fleet import Role
from verbenahall.roles._demand import (
    DemandState,
    estimate_demand,
    record_arrival,
)
from verbenahall.roles._messages import (
    Demand,
    EngineStatus,
    Observation,
    Profile,
)
from verbenahall.roles._planner import PlannerState, decide

#: Time between two steps of the planner, in seconds.
_PERIOD_S: Final = 1.0
#: Engines with a model of about 13 billion parameters, from the slopes of the
#: simulated engine's cost model. docs/design/roles.md describes how to measure
#: other engines.
DEFAULT_PROFILE: Final = Profile(
    prefill_tokens_s=8700,
    decode_tokens_s=2000,
    mixed_prefill=0.8,
    mixed_decode=1,
    change_s=14,
)
_NO_ROLES: Final[Mapping[str, Role]] = MappingProxyType({})


class AutomaticPool(Protocol):
    """A pool whose engines get their roles from the planner."""

    name: str
    models: tuple[str, ...]
    engines: tuple[EngineStatus, ...]
    goodput_weight: float
    change_weight: float
    floor: int


class RolePlannerDependencies(Protocol):
    """What the planner reads at each step."""

    def is_leader(self, now: float) -> bool:
        """Whether this process holds the data centre's lease."""

    def list_pools(self) -> list[AutomaticPool]:
        """Return the automatic pools with their live engines."""

    def get_traffic_share(self, now: float) -> float:
        """Return this instance's share of the data centre's callers."""


@final
class RolePlanner:
    """Plans the target roles, which the rollout turns into orders.

    Every instance counts the requests that it receives, so a new lease holder
    has an estimate of the demand at once. Only the lease holder plans: two
    planners with different estimates would change engines back and forth.
    ``roles`` maps engines to target roles and is empty without the lease.
    """

    def __init__(
        self,
        dependencies: RolePlannerDependencies,
        profile: Profile = DEFAULT_PROFILE,
        clock: Clock = monotonic,
    ) -> None:
        """Start with no arrivals and no target roles."""
        self.roles: Mapping[str, Role] = _NO_ROLES
        self._dependencies = dependencies
        self._profile = profile
        self._clock = clock
        self._demands: dict[str, DemandState] = {}
        self._planners: dict[str, PlannerState] = {}

    def record_arrival(
        self,
        model: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Add a caller's request to the demand, by its expected tokens."""
        now = self._clock()
        demand = self._demands.setdefault(model, DemandState(now))
        record_arrival(demand, prompt_tokens, output_tokens, now)

    async def run(self) -> None:
        """Plan periodically until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            self.plan()

    def plan(self) -> None:
        """Plan all pools once, or clear the target roles without the lease."""
        now = self._clock()
        if not self._dependencies.is_leader(now):
            self._planners.clear()
            self.roles = _NO_ROLES
            return
        roles: dict[str, Role] = {}
        for pool in self._dependencies.list_pools():
            roles.update(self._plan_pool(pool, now))
        self.roles = roles

    def _plan_pool(self, pool: AutomaticPool, now: float) -> Mapping[str, Role]:
        observation = Observation(
            pool=pool.name,
            demand=self._add_demands(pool.models, now),
            engines=pool.engines,
            goodput_weight=pool.goodput_weight,
            change_weight=pool.change_weight,
            floor=pool.floor,
        )
        if not observation.engines:
            return _NO_ROLES
        state = self._planners.setdefault(pool.name, PlannerState(now))
        plan = decide(state, observation, self._profile, now)
        if plan.changes:
            journal.write_decision(
                'roles',
                pool=pool.name,
                changes=plan.changes,
                reason=plan.reason,
                regret=round(plan.regret, 2),
                cost=round(plan.cost, 2),
                demand_age_s=round(observation.demand.age_s, 2),
            )
        return plan.roles

    def _add_demands(self, models: tuple[str, ...], now: float) -> Demand:
        share = self._dependencies.get_traffic_share(now)
        demands = [
            estimate_demand(self._demands[model], now, share)
            for model in models
            if model in self._demands
        ]
        return Demand(
            sum(demand.prefill_tokens_s for demand in demands),
            sum(demand.decode_tokens_s for demand in demands),
            min(
                (demand.age_s for demand in demands),
                default=float('inf'),
            ),
        )
