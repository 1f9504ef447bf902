"""The role planner, compared with an exhaustive search."""

import itertools
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Role
from verbenahall.roles import (
    Counts,
    Demand,
    EngineStatus,
    Observation,
    PlannerState,
    Profile,
    RolePlanner,
    compute_served_share,
    decide,
)

PROFILE = Profile(
    prefill_tokens_s=1000,
    decode_tokens_s=100,
    mixed_prefill=0.7,
    mixed_decode=0.9,
)
counts = st.builds(
    Counts,
    st.integers(0, 6),
    st.integers(0, 6),
    st.integers(1, 6),
)
demands = st.builds(Demand, st.floats(1, 20000), st.floats(1, 2000))


def make_observation(*roles, demand, **weights):
    """Return an observation of engines in the given roles."""
    engines = tuple(
        EngineStatus(f'engine-{index}', role)
        for index, role in enumerate(roles)
    )
    return Observation('pool', demand, engines, **weights)


def search_served_share(current, demand):
    """Try many splits of the mixed engines and return the best multiple."""
    prefill = demand.prefill_tokens_s / PROFILE.prefill_tokens_s
    decode = demand.decode_tokens_s / PROFILE.decode_tokens_s
    prefilling = current.mixed * PROFILE.mixed_prefill
    decoding = current.mixed * PROFILE.mixed_decode
    return max(
        min(
            (current.prefill + prefilling * step / 2000) / prefill,
            (current.decode + decoding * (2000 - step) / 2000) / decode,
        )
        for step in range(2001)
    )


@given(counts, demands)
def test_served_share_equals_the_best_split(current, demand):
    """A wrong capacity would lead to wrong plans."""
    exact = compute_served_share(current, demand, PROFILE)
    naive = search_served_share(current, demand)

    assert naive <= exact * (1 + 1e-9)
    assert naive == pytest.approx(exact, rel=0.02, abs=0.01)


@given(
    st.lists(st.sampled_from(Role), min_size=1, max_size=12),
    demands,
    st.integers(1, 400),
)
def test_plan_keeps_every_engine_and_both_functions(roles, demand, ticks):
    """For any demand, some engine can prefill and some can decode."""
    observation = make_observation(*roles, demand=demand)
    state = PlannerState(0)
    for tick in range(ticks):
        plan = decide(state, observation, PROFILE, tick)

    assert plan.roles.keys() == {engine.name for engine in observation.engines}
    if plan.changes:
        wanted = set(plan.roles.values())
        assert wanted & {Role.PREFILL, Role.MIXED}
        assert wanted & {Role.DECODE, Role.MIXED}


def run_burst(change_weight, duration_s):
    """Count the changes in a burst of decode demand of ``duration_s``."""
    baseline = Demand(1000, 100)
    burst = Demand(500, 380)
    state = PlannerState(0)
    roles = [Role.PREFILL, Role.PREFILL, Role.DECODE, Role.DECODE]
    changes = 0
    for tick in range(duration_s + 30):
        demand = burst if tick < duration_s else baseline
        observation = make_observation(
            *roles, demand=demand, change_weight=change_weight
        )
        plan = decide(state, observation, PROFILE, tick)
        changes += plan.changes
        roles = [plan.roles[engine.name] for engine in observation.engines]
    return changes


@pytest.mark.parametrize(
    ('change_weight', 'duration_s', 'changes'),
    [(1, 1, False), (1, 60, True), (50, 20, False)],
)
def test_roles_change_only_when_the_regret_exceeds_the_cost(
    change_weight, duration_s, changes
):
    """A short burst must not make an engine unavailable for seconds.

    A planner that reacts at once would change roles at the first second of
    the burst and back after it, and requests would wait during both changes.
    """
    assert bool(run_burst(change_weight, duration_s)) is changes


def test_pause_of_the_planner_adds_no_regret():
    """The process is paused for a minute during a burst.

    If the whole minute counted as regret, roles would change as soon as the
    process resumes, although the burst may be over.
    """
    observation = make_observation(
        Role.PREFILL,
        Role.PREFILL,
        Role.DECODE,
        Role.DECODE,
        demand=Demand(500, 380),
    )
    state = PlannerState(0)
    decide(state, observation, PROFILE, 1)

    assert decide(state, observation, PROFILE, 61).changes == 0


def test_stale_demand_changes_nothing():
    """Without recent requests the mix is unknown, so no role changes."""
    observation = make_observation(
        Role.PREFILL, Role.DECODE, demand=Demand(10, 900, 60)
    )
    state = PlannerState(0)

    assert not any(
        decide(state, observation, PROFILE, tick).changes for tick in range(200)
    )


class FakePools:
    """One automatic pool of four engines; tests set ``leading``."""

    def __init__(self):
        self.leading = True
        self.engines = tuple(
            EngineStatus(f'engine-{index}', role)
            for index, role in enumerate(itertools.repeat(Role.PREFILL, 4))
        )

    def is_leader(self, now):
        return self.leading

    def get_traffic_share(self, now):
        return 1

    def list_pools(self):
        return [
            SimpleNamespace(
                name='pool',
                models=('drafter',),
                engines=self.engines,
                goodput_weight=1,
                change_weight=1,
                floor=1,
            ),
        ]


def run_planner(pools, seconds):
    """Record decode-heavy arrivals and return the target roles of each step."""
    now = itertools.count()
    planner = RolePlanner(pools, PROFILE, clock=lambda: next(now) / 10)
    targets = []
    for _ in range(seconds):
        planner.record_arrival('drafter', 10, 300)
        planner.plan()
        targets.append(dict(planner.roles))
    return targets


def test_only_the_lease_holder_plans():
    """Two instances of a data centre receive different halves of the requests.

    If both planned, engines would change back and forth between their plans.
    """
    pools = FakePools()
    assert any(
        Role.DECODE in target.values() or Role.MIXED in target.values()
        for target in run_planner(pools, 200)
    )

    pools.leading = False
    assert not any(run_planner(pools, 200))
