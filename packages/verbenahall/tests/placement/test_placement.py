"""Choice of engines, planned roles, and speed estimates."""

import dataclasses
import random

from returns.result import Failure, Success
from verbenahall.catalog import EngineTraits
from verbenahall.errors import ErrorKind
from verbenahall.fleet import Role
from verbenahall.placement import (
    Part,
    PlacementRequest,
    PlacementState,
    Totals,
    Work,
    place,
    plan_roles,
)
from verbenahall.placement._caches import PrefixCache
from verbenahall.placement._speeds import DecayingAverage, PrefillSpeed
from verbenahall.roster import Entry

TRAITS = EngineTraits(
    slots=48,
    kv_tokens=444_000,
    kv_token_bytes=131_072,
    link_bytes_s=200e9,
    event_tokens=10,
    role_change_s=3,
)


def make_engine(name, role=Role.PREFILL, data_centre='lampeter', **changes):
    return Entry(
        name=name,
        service='drafter',
        address='10.0.0.1:80',
        data_centre=data_centre,
        leaving=False,
        slots=48,
        role=role,
        **changes,
    )


def make_engines(prefill_count=6, decode_count=3):
    return [
        *(make_engine(f'r{n}') for n in range(prefill_count)),
        *(make_engine(f'g{n}', Role.DECODE) for n in range(decode_count)),
    ]


def make_state():
    return PlacementState()


def make_work(shared='archive-1', own='own', shared_tokens=13_300):
    parts = (Part(shared, shared_tokens), Part(own, 3_720))
    return Work(parts, shared_tokens + 3_720, 120)


def choose(state, work, engines, now=0):
    return place(
        state, PlacementRequest(work, 0.25), engines, TRAITS, now
    ).unwrap()


def test_requests_with_a_shared_part_go_to_one_engine():
    state = make_state()
    engines = make_engines()
    chosen_engines = {
        choose(state, make_work(own=f'o{n}'), engines).prefill_engine.name
        for n in range(20)
    }
    assert len(chosen_engines) == 1


def test_instances_agree_on_preferred_engines():
    engines = make_engines()
    for number in range(20):
        work = make_work(shared=f'archive-{number}')
        chosen_names = {
            choose(make_state(), work, engines).prefill_engine.name
            for _ in range(5)
        }
        assert len(chosen_names) == 1


def test_prefixes_are_spread_over_the_prefill_engines():
    state = make_state()
    engines = make_engines()
    works = [make_work(shared=f'a{n}') for n in range(300)]
    chosen = [
        choose(state, work, engines).prefill_engine.name for work in works
    ]
    assert all(30 <= chosen.count(f'r{n}') <= 75 for n in range(6))


def test_lost_prefill_engine_moves_only_its_own_parts():
    # An engine leaves. If the parts of the others moved too, the whole fleet
    # would prefill every shared prefix again in the same second.
    state = make_state()
    engines = make_engines()
    works = [make_work(shared=f'a{n}') for n in range(100)]
    before = [
        choose(state, work, engines).prefill_engine.name for work in works
    ]
    rest = [one for one in engines if one.name != 'r0']
    after = [choose(state, work, rest).prefill_engine.name for work in works]
    moved = [b for b, a in zip(before, after, strict=True) if b != a]
    assert set(moved) == {'r0'}


def test_busy_preferred_engine_is_left_only_if_that_costs_less():
    state = make_state()
    engines = make_engines()
    work = make_work()
    preferred = choose(state, work, engines).prefill_engine
    flight = state.load_table.open(preferred.name, Totals(prefill_tokens=4_000))
    assert choose(state, work, engines).prefill_engine == preferred
    state.load_table.close(flight)
    state.load_table.open(preferred.name, Totals(prefill_tokens=80_000))
    assert choose(state, work, engines).prefill_engine != preferred


def test_short_shared_part_spills_over_early():
    # Short prompts share little. Kept on a busy preferred engine, they would
    # wait behind long prompts of another prefix.
    state = make_state()
    engines = make_engines()
    work = make_work(shared_tokens=100)
    preferred = choose(state, work, engines).prefill_engine
    state.load_table.open(preferred.name, Totals(prefill_tokens=12_000))
    assert choose(state, work, engines).prefill_engine != preferred


def test_decode_engine_with_room_is_chosen():
    state = make_state()
    engines = make_engines()
    state.load_table.open('g0', Totals(held_tokens=430_000, streams=20))
    state.load_table.open('g1', Totals(held_tokens=430_000, streams=20))
    for number in range(10):
        plan = choose(state, make_work(own=f'o{number}'), engines)
        assert plan.decode_engine.name == 'g2'


def test_streams_are_spread_over_the_decode_engines():
    state = make_state()
    engines = make_engines()
    chosen = []
    for number in range(30):
        plan = choose(state, make_work(shared=f'a{number}'), engines)
        chosen.append(plan.decode_engine.name)
        state.load_table.open(
            plan.decode_engine.name, Totals(held_tokens=17_000, streams=1)
        )
    assert all(chosen.count(f'g{n}') >= 8 for n in range(3))


def test_slow_decode_engine_is_avoided():
    # An engine has become slow but passes its health check. Pauses in its
    # streams are longer than the callers' limit.
    state = make_state()
    engines = make_engines()
    for _ in range(20):
        state.find_step_time('g0').observe(0.05, now=0)
    for number in range(10):
        plan = choose(state, make_work(own=f'o{number}'), engines, now=0.1)
        assert plan.decode_engine.name != 'g0'


def test_decode_engine_in_the_same_data_centre_is_preferred():
    state = make_state()
    engines = [
        make_engine('r0'),
        make_engine('far', Role.DECODE, 'cardigan'),
        make_engine('near', Role.DECODE),
    ]
    assert choose(state, make_work(), engines).decode_engine.name == 'near'


def test_without_prefill_engines_decode_engines_prefill():
    state = make_state()
    engines = make_engines(prefill_count=0)
    plan = choose(state, make_work(), engines)
    assert plan.prefill_engine is None
    assert plan.decode_engine.role is Role.DECODE


def test_without_decode_engines_nothing_is_placed():
    outcome = place(
        make_state(),
        PlacementRequest(make_work(), 0.25),
        make_engines(decode_count=0),
        TRAITS,
        0,
    )
    assert isinstance(outcome, Failure)
    assert outcome.failure().kind is ErrorKind.NO_ENDPOINT


def test_request_without_parts_is_placed():
    state = make_state()
    outcome = place(
        state, PlacementRequest(Work(), 0.25), make_engines(), TRAITS, 0
    )
    assert isinstance(outcome, Success)


def test_cache_evicts_the_least_recently_used_parts():
    cache = PrefixCache(1000)
    cache.record([Part('a', 300), Part('b', 300)])
    cache.record([Part('a', 300), Part('c', 300)])
    assert cache.count_cached_tokens([Part('a', 300), Part('c', 300)]) == 600
    assert cache.count_cached_tokens([Part('a', 300), Part('b', 300)]) == 300
    assert cache.count_cached_tokens([Part('b', 300)]) == 0


def test_part_counts_only_if_all_earlier_parts_are_cached():
    cache = PrefixCache(10_000)
    cache.record([Part('a', 300), Part('b', 300)])
    assert cache.count_cached_tokens([Part('x', 10), Part('b', 300)]) == 0


def model_prefill_s(missing, cached):
    """Return the prefill time of an engine like those of the deployment."""
    pairs = missing * (cached + missing / 2) / 1e6
    return 0.08 + missing / 93_000 + pairs * 0.000_442


def test_prefill_speed_is_estimated():
    speed = PrefillSpeed()
    rng = random.Random(3)
    for _ in range(300):
        missing = rng.randint(400, 20_000)
        cached = rng.choice((0, 6_300, 13_300))
        noise = rng.expovariate(100)
        speed.update(missing, cached, model_prefill_s(missing, cached) + noise)
    for missing, cached in ((1_110, 350), (3_720, 13_300), (17_000, 0)):
        expected = speed.start_s + speed.predict_s(missing, cached)
        assert 0.8 < expected / model_prefill_s(missing, cached) < 1.35


def test_delayed_prefills_change_the_estimate_little():
    # Prefills of instances that don't report to this one delay some of its
    # own. Taken at face value, engines would look slow and requests would be
    # refused for nothing.
    speed = PrefillSpeed()
    rng = random.Random(4)
    for number in range(300):
        missing = rng.randint(400, 20_000)
        waited = 0.5 if number % 4 == 0 else 0
        speed.update(missing, 0, model_prefill_s(missing, 0) + waited)
    expected = speed.start_s + speed.predict_s(5_000, 0)
    assert expected / model_prefill_s(5_000, 0) < 1.8


def test_step_time_decays_without_samples():
    step = DecayingAverage()
    for _ in range(30):
        step.observe(0.05, now=10)
    assert step.estimate(10) > 0.04
    assert step.estimate(30) < 0.008


def test_most_engines_prefill():
    engines = make_engines(prefill_count=4, decode_count=5)
    changes = plan_roles(engines, {})
    roles = [change.role for change in changes]
    assert roles == [Role.PREFILL, Role.PREFILL]


def spread(engines, data_centres):
    """Assign engines to data centres, one letter each."""
    return [
        dataclasses.replace(engine, data_centre=data_centres[number])
        for number, engine in enumerate(engines)
    ]


def test_roles_change_where_a_role_has_most_engines():
    """Five of six decode engines are in one data centre.

    If the one in the other data centre were changed, that would have none
    left, and all of its answers would come from the other data centre.
    """
    engines = spread(make_engines(prefill_count=1, decode_count=6), 'aaaabaa')
    changes = plan_roles(engines, {})
    assert [change.engine.data_centre for change in changes] == ['a', 'a', 'a']


def test_large_fleet_reaches_its_roles_in_few_rounds():
    """Eighty engines start, most of them with the wrong role.

    Changed four at a time, each change taking seconds, engines would be out of
    service in turn while the first callers wait.
    """
    engines = make_engines(prefill_count=20, decode_count=60)
    rounds = 0
    while changes := plan_roles(engines, {}):
        changed = {change.engine.name: change.role for change in changes}
        engines = [
            dataclasses.replace(one, role=changed.get(one.name, one.role))
            for one in engines
        ]
        rounds += 1
    assert rounds <= 3


def test_planned_roles_need_no_change():
    assert not plan_roles(make_engines(prefill_count=6, decode_count=3), {})
    assert not plan_roles(make_engines(prefill_count=4, decode_count=2), {})
    assert not plan_roles([], {})


def test_least_busy_engines_change():
    # A change waits for open work to end, and the engine is out of service
    # meanwhile.
    engines = make_engines(prefill_count=2, decode_count=4)
    busy = {'g0': 9, 'g1': 0, 'g2': 7, 'g3': 1}
    changes = plan_roles(engines, busy)
    assert [change.engine.name for change in changes] == ['g1', 'g3']


def test_one_engine_always_decodes():
    for prefill_count, decode_count in ((1, 0), (3, 0), (0, 1), (1, 1)):
        engines = make_engines(prefill_count, decode_count)
        changes = plan_roles(engines, {})
        roles = [change.role for change in changes]
        left = decode_count + roles.count(Role.DECODE)
        assert left - roles.count(Role.PREFILL) >= 1


def test_crashed_decode_engines_are_not_replaced():
    # Two of three decode engines crash and are back in four seconds. Prefill
    # engines that were changed in their place were ready after three seconds,
    # were changed back three seconds later, and the prefixes they had cached
    # were prefilled again: goodput of a day fell from 0.52 to 0.41 of what was
    # owed.
    engines = make_engines(prefill_count=6, decode_count=1)
    assert not plan_roles(engines, {}, recently_lost=2)


def test_service_without_decode_engines_gets_one():
    engines = make_engines(prefill_count=6, decode_count=0)
    changes = plan_roles(engines, {}, recently_lost=3)
    assert [change.role for change in changes] == [Role.DECODE]


def test_removed_decode_engine_is_replaced():
    engines = make_engines(prefill_count=6, decode_count=2)
    changes = plan_roles(engines, {})
    assert [change.role for change in changes] == [Role.DECODE]


def test_few_prefills_change_the_estimate_little():
    # An instance starts in the middle of a burst, and its first prefills wait
    # behind those of instances whose reports it has not received. Taken at
    # face value, it would refuse callers for waits that don't exist.
    speed = PrefillSpeed()
    for _ in range(3):
        speed.update(1_000, 0, 0.8)
    assert speed.start_s + speed.predict_s(20_000, 0) < 0.6


def test_estimate_of_a_peer_is_adopted():
    learned = PrefillSpeed()
    rng = random.Random(5)
    for _ in range(200):
        missing = rng.randint(400, 20_000)
        learned.update(missing, 0, model_prefill_s(missing, 0))
    fresh = PrefillSpeed()
    fresh.adopt(learned.export())
    assert (
        abs(fresh.predict_s(9_000, 0) / learned.predict_s(9_000, 0) - 1) < 0.01
    )
    before = learned.export()
    learned.adopt(fresh.export())
    assert learned.export() == before


def make_small(tokens=200):
    parts = (Part('greeting', tokens // 2), Part('own', tokens // 2))
    return Work(parts, tokens, 90)


def test_short_prompt_is_prefilled_by_the_decode_engine():
    # A decode engine prefills about two hundred tokens in a moment. Over a
    # prefill engine, the caller would wait for two engines in place of one,
    # and for the long prompts open there.
    state = make_state()
    plan = choose(state, make_small(), make_engines())
    assert plan.prefill_engine is None


def test_long_prompt_is_not_prefilled_by_a_busy_decode_engine():
    # The prefill of a long prompt on a decode engine stalls all of its
    # streams.
    state = make_state()
    engines = make_engines()
    for number in range(3):
        state.load_table.open(
            f'g{number}', Totals(streams=8, held_tokens=8_000)
        )
    assert choose(state, make_work(), engines).prefill_engine is not None


def test_decode_engine_prefills_when_prefill_engines_are_busy():
    state = make_state()
    engines = make_engines()
    for number in range(6):
        state.load_table.open(f'r{number}', Totals(prefill_tokens=200_000))
    assert choose(state, make_work(), engines).prefill_engine is None


def test_prompt_stays_on_its_preferred_engine_while_others_wait():
    # Prefilled on another engine, a prompt takes twice the engine time. All
    # requests in the queue wait longer for that.
    state = make_state()
    engines = make_engines(decode_count=1)
    work = make_work()
    preferred = choose(state, work, engines).prefill_engine
    state.load_table.open('g0', Totals(streams=8, held_tokens=8_000))
    state.load_table.open(preferred.name, Totals(prefill_tokens=50_000))
    spilled = place(
        state, PlacementRequest(work, 0.25), engines, TRAITS, 0
    ).unwrap()
    placement_request = PlacementRequest(work, 0.25)
    stayed = place(
        state, placement_request, engines, TRAITS, 0, waiting_count=10
    ).unwrap()
    assert spilled.prefill_engine != preferred
    assert stayed.prefill_engine == preferred


def use_versions(engines, versions):
    """Give the engines software versions, one letter each."""
    return [
        dataclasses.replace(engine, version=versions[number])
        for number, engine in enumerate(engines)
    ]


def test_version_without_a_decode_engine_gets_the_next_one():
    # Its streams could go on nowhere, though three of its engines serve.
    engines = make_engines(prefill_count=5, decode_count=1)
    changes = plan_roles(use_versions(engines, 'aabbba'), {'reader-2': 9})
    assert [(one.engine.version, one.role) for one in changes] == [
        ('b', Role.DECODE)
    ]


def test_last_decode_engine_of_a_version_keeps_its_role():
    engines = make_engines(prefill_count=3, decode_count=3)
    changes = plan_roles(use_versions(engines, 'aaaabb'), {})
    assert [(one.engine.version, one.role) for one in changes] == [
        ('b', Role.PREFILL)
    ]
