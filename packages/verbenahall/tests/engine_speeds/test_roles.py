"""Roles follow lasting differences of engines and lasting demand only."""

import dataclasses

from verbenahall.engine_speeds import EngineUse, RoleTimer, ServiceRoles
from verbenahall.fleet import Role
from verbenahall.placement import (
    RolePlanner,
    PlacementState,
    Totals,
    plan_roles,
)
from verbenahall_standins.replay import TRAITS, make_entry

#: A tenth of that of most deployments, so that a lasting reason takes 9 s.
ROLE_CHANGE_S = 0.3
INTERVAL_S = 0.3
#: Six prefill and three decode engines; the fast one decodes.
ENGINES = (
    *(make_entry(f'p{number}', Role.PREFILL) for number in range(6)),
    *(make_entry(f'd{number}', Role.DECODE) for number in range(3)),
)
FACTORS = {one.name: 1.0 for one in ENGINES} | {'d0': 0.41, 'p0': 0.41}
USUAL_USE = EngineUse(prefilling=4, decoding=2)


def run(timer, use, begin, seconds, factors=FACTORS, **changes):
    """Update for some seconds; return the roles at the end of each."""
    roles = []
    for step in range(int(seconds / INTERVAL_S)):
        now = begin + step * INTERVAL_S
        roles.append(
            timer.update(
                ENGINES,
                factors,
                use(now) if callable(use) else use,
                now,
                **changes,
            )
        )
    return roles


def test_roles_of_equal_engines_follow_nothing():
    timer = RoleTimer(ROLE_CHANGE_S)
    use = EngineUse(prefilling=6, decoding=0)
    assert set(run(timer, use, 0, 60, factors={})) == {ServiceRoles()}


def test_fast_decode_engine_is_exchanged_after_thirty_role_changes():
    # An exchange takes two engines out of service. Made at the first sign, it
    # would follow slow phases of 0.6 s.
    timer = RoleTimer(ROLE_CHANGE_S)
    roles = run(timer, USUAL_USE, 0, 12)
    assert not any(one.exchanges for one in roles[: int(9 / INTERVAL_S)])
    pair = roles[-1].exchanges[0]
    assert pair[1].name == 'd0'
    assert len(roles[-1].exchanges) == 1
    changes = plan_roles(ENGINES, {}, 0, FACTORS, roles[-1])
    assert [(one.engine.name, one.role) for one in changes] == [
        (pair[0].name, Role.DECODE),
        ('d0', Role.PREFILL),
    ]


def test_no_exchange_while_engines_were_lost():
    # Most of them are back soon; two more engines out of service would make it
    # worse. The time starts anew after the loss.
    timer = RoleTimer(ROLE_CHANGE_S)
    run(timer, USUAL_USE, 0, 8)
    assert not any(
        one.exchanges for one in run(timer, USUAL_USE, 8, 30, is_disturbed=True)
    )
    assert not any(one.exchanges for one in run(timer, USUAL_USE, 38, 8))
    assert run(timer, USUAL_USE, 46, 3)[-1].exchanges


def test_engines_that_alternate_as_slowest_are_exchanged_nevertheless():
    # Equal engines take turns in being the slowest, by chance.
    timer = RoleTimer(ROLE_CHANGE_S)
    for step in range(40):
        factors = {**FACTORS, f'p{1 + step % 5}': 1.05}
        roles = timer.update(ENGINES, factors, USUAL_USE, step * INTERVAL_S)
    assert roles.exchanges


def test_last_decode_engine_of_a_version_is_not_exchanged():
    # Streams that began at its version could go on nowhere.
    timer = RoleTimer(ROLE_CHANGE_S)
    engines = [
        dataclasses.replace(one, version='b' if one.name == 'd0' else 'a')
        for one in ENGINES
    ]
    for step in range(60):
        roles = timer.update(engines, FACTORS, USUAL_USE, step * INTERVAL_S)
        assert not roles.exchanges


def test_short_swings_of_the_mix_change_no_roles():
    # The mix alternates every 2.8 s. An engine would change its role back
    # before the change has paid off.
    def alternate(now):
        if int(now / 2.8) % 2:
            return EngineUse(prefilling=5.5, decoding=1)
        return EngineUse(prefilling=2, decoding=2.6)

    timer = RoleTimer(ROLE_CHANGE_S)
    roles = run(timer, alternate, 0, 60)
    assert {one.decode_count for one in roles} == {3}


def test_lasting_shift_changes_the_number_of_decode_engines():
    timer = RoleTimer(ROLE_CHANGE_S)
    run(timer, USUAL_USE, 0, 10)
    decoding = EngineUse(prefilling=2, decoding=3)
    roles = run(timer, decoding, 10, 60)
    counts = [one.decode_count for one in roles]
    assert set(counts[: int(9 / INTERVAL_S)]) == {3}
    assert counts[-1] == 4
    # Each data centre with prefill engines keeps one, whatever the demand.
    reading = EngineUse(prefilling=6, decoding=0)
    roles = run(timer, reading, 70, 60)
    assert roles[-1].decode_count == 2


def test_large_fleet_keeps_the_usual_number_of_decode_engines():
    # Each instance knows the load of its own data centre only. If they followed
    # that, each would change back what another one has ordered.
    timer = RoleTimer(ROLE_CHANGE_S)
    roles = run(timer, None, 0, 60)
    assert {one.decode_count for one in roles} == {None}
    assert roles[-1].exchanges


def test_fast_engines_are_chosen_when_roles_change_anyway():
    # Seven engines decode and four of them are to prefill: the fast ones, even
    # if they are busier.
    engines = [
        dataclasses.replace(one, role=Role.DECODE) for one in ENGINES[:7]
    ]
    factors = {'p4': 0.4, 'p5': 0.42}
    changes = plan_roles(engines, {'p4': 9, 'p5': 8}, 0, factors)
    assert {'p4', 'p5'} <= {one.engine.name for one in changes}


def test_planner_of_a_new_holder_changes_nothing_at_once():
    """The holder of the duty is killed after it has ordered an exchange.

    Its successor finds two more decode engines than the usual share, by the
    demand, and must not change them back.
    """
    state = PlacementState()
    engines = [
        dataclasses.replace(one, role=Role.DECODE) if one.name == 'p1' else one
        for one in ENGINES
    ]
    for step in range(200):
        now = step / 20
        for one in engines:
            state.engine_speeds.record_prefill(
                one, FACTORS[one.name], share=1, crowded=False, now=now
            )
    for one in engines[:3]:
        state.load_table.open(one.name, Totals(prefill_tokens=900, streams=20))
    assert not RolePlanner(state).plan(engines, TRAITS, 0, now=10)
