"""The planner of roles against a naive one that tries everything."""

import itertools
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Role
from verbenahall.roles import (
    Counts,
    Demand,
    EngineNow,
    Observation,
    PlannerState,
    Profile,
    RolePlanner,
    decide,
    served_share,
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


def make_pool(*roles, demand, **weights):
    """Build an observation of engines in the given roles."""
    engines = tuple(
        EngineNow(f'engine-{index}', role) for index, role in enumerate(roles)
    )
    return Observation('pool', demand, engines, **weights)


def serve_naively(present, demand):
    """Try many splits of the mixed engines and keep the best multiple."""
    prefill = demand.prefill_tokens_s / PROFILE.prefill_tokens_s
    decode = demand.decode_tokens_s / PROFILE.decode_tokens_s
    prefilling = present.mixed * PROFILE.mixed_prefill
    decoding = present.mixed * PROFILE.mixed_decode
    return max(
        min(
            (present.prefill + prefilling * step / 2000) / prefill,
            (present.decode + decoding * (2000 - step) / 2000) / decode,
        )
        for step in range(2001)
    )


@given(counts, demands)
def test_closed_form_equals_trying_every_split(present, demand):
    """The bound is exact, so no plan is taken on a wrong capacity."""
    exact = served_share(present, demand, PROFILE)
    naive = serve_naively(present, demand)

    assert naive <= exact * (1 + 1e-9)
    assert naive == pytest.approx(exact, rel=0.02, abs=0.01)


@given(
    st.lists(st.sampled_from(Role), min_size=1, max_size=12),
    demands,
    st.integers(1, 400),
)
def test_plan_keeps_every_engine_and_both_abilities(roles, demand, ticks):
    """Whatever the mix, some engine can prefill and some can decode."""
    seen = make_pool(*roles, demand=demand)
    state = PlannerState(0)
    for tick in range(ticks):
        plan = decide(state, seen, PROFILE, tick)

    assert plan.roles.keys() == {engine.name for engine in seen.engines}
    if plan.changes:
        wanted = set(plan.roles.values())
        assert wanted & {Role.PREFILL, Role.MIXED}
        assert wanted & {Role.DECODE, Role.MIXED}


def run_swing(change_weight, stay_s):
    """Count the changes while decode demand doubles for ``stay_s`` seconds."""
    calm = Demand(1000, 100)
    rush = Demand(500, 380)
    state = PlannerState(0)
    roles = [Role.PREFILL, Role.PREFILL, Role.DECODE, Role.DECODE]
    changes = 0
    for tick in range(stay_s + 30):
        demand = rush if tick < stay_s else calm
        seen = make_pool(*roles, demand=demand, change_weight=change_weight)
        plan = decide(state, seen, PROFILE, tick)
        changes += plan.changes
        roles = [plan.roles[engine.name] for engine in seen.engines]
    return changes


@pytest.mark.parametrize(
    ('change_weight', 'stay_s', 'changes'),
    [(1, 1, False), (1, 60, True), (50, 20, False)],
)
def test_change_waits_until_the_loss_has_paid(change_weight, stay_s, changes):
    """A short rush must not take an engine away for seconds.

    A reactive planner would change at the first second of the rush and back
    again after it; crews at locked gates wait through both changes.
    """
    assert bool(run_swing(change_weight, stay_s)) is changes


def test_pause_of_the_planner_is_not_taken_for_loss():
    """The process is frozen for a minute in the middle of a rush.

    On waking, the whole minute would look like observed loss and roles would
    change on the spot, though the rush may be over.
    """
    seen = make_pool(
        Role.PREFILL,
        Role.PREFILL,
        Role.DECODE,
        Role.DECODE,
        demand=Demand(500, 380),
    )
    state = PlannerState(0)
    decide(state, seen, PROFILE, 1)

    assert decide(state, seen, PROFILE, 61).changes == 0


def test_stale_demand_changes_nothing():
    """No request has come for long, so the mix is unknown."""
    seen = make_pool(Role.PREFILL, Role.DECODE, demand=Demand(10, 900, 60))
    state = PlannerState(0)

    assert not any(
        decide(state, seen, PROFILE, tick).changes for tick in range(200)
    )


class FakePools:
    """One automatic pool of four engines; ``leading`` is switched by tests."""

    def __init__(self):
        self.leading = True
        self.engines = tuple(
            EngineNow(f'engine-{index}', role)
            for index, role in enumerate(itertools.repeat(Role.PREFILL, 4))
        )

    def is_leading(self, now):
        return self.leading

    def find_share(self, now):
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
    """Send decode-heavy arrivals for some seconds; return the wishes."""
    now = itertools.count()
    planner = RolePlanner(pools, PROFILE, clock=lambda: next(now) / 10)
    wishes = []
    for _ in range(seconds):
        planner.note_arrival('drafter', 10, 300)
        planner.plan()
        wishes.append(dict(planner.roles))
    return wishes


def test_only_the_lease_holder_plans():
    """Two instances of a data centre see different halves of the callers.

    If both planned, engines would be sent to and fro between their views.
    """
    pools = FakePools()
    assert any(
        Role.DECODE in wish.values() or Role.MIXED in wish.values()
        for wish in run_planner(pools, 200)
    )

    pools.leading = False
    assert not any(run_planner(pools, 200))
