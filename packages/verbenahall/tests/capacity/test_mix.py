"""The size that a demand needs, and the cheapest safe mix for it."""

import itertools
import math
from types import MappingProxyType

import pytest

from verbenahall.capacity import (
    Availability,
    CapacityKind,
    Demand,
    Pool,
    ServiceTraits,
    choose_mix,
    count_engines,
    count_safe,
    find_invalid_field,
    plan_sizes,
)
from verbenahall.capacity._size import estimate_wait_s
from verbenahall.catalog import ScalingRules

PRICES = MappingProxyType({'a': 0.85, 'b': 1.2, 'c': 1.0})
RULES = ScalingRules(1, 20, 4, 0.18, PRICES)
TRAITS = ServiceTraits(slots=8, objective_s=0.56)


def spot(**sizes):
    return {
        Pool(centre, CapacityKind.SPOT): size for centre, size in sizes.items()
    }


def on_demand(**sizes):
    return {
        Pool(centre, CapacityKind.ON_DEMAND): size
        for centre, size in sizes.items()
    }


def count_remaining(sizes):
    """Return how many engines remain after the worst two reclaims."""
    kinds = {kind: [] for kind in CapacityKind}
    for pool, size in sizes.items():
        kinds[pool.kind].append(size)
    return sum(kinds[CapacityKind.ON_DEMAND]) + count_safe(
        kinds[CapacityKind.SPOT]
    )


def find_price(rules, sizes):
    shares = {CapacityKind.ON_DEMAND: 1, CapacityKind.SPOT: rules.spot_share}
    return sum(
        rules.prices[pool.data_centre] * shares[pool.kind] * size
        for pool, size in sizes.items()
    )


@pytest.mark.parametrize(
    ('rules', 'needed', 'sizes'),
    [
        (RULES, 12, {**on_demand(a=0, b=0, c=0), **spot(a=12, b=12, c=12)}),
        (RULES, 2, {**on_demand(a=0, b=0, c=0), **spot(a=2, b=2, c=2)}),
        # Both data centres may lose their spot engines.
        (
            ScalingRules(1, 20, 4, 0.18, {'a': 0.85, 'b': 1.2}),
            12,
            {**on_demand(a=11, b=1), **spot(a=0, b=0)},
        ),
        # Spot engines that cost as much as others are not worth a reserve.
        (
            ScalingRules(1, 20, 4, 0.9, PRICES),
            12,
            {**on_demand(a=10, b=1, c=1), **spot(a=0, b=0, c=0)},
        ),
    ],
)
def test_cheapest_mix_remains_after_two_reclaims(rules, needed, sizes):
    assert choose_mix(rules, needed) == sizes


@pytest.mark.parametrize('needed', [2, 5, 13, 30, 45, 60])
@pytest.mark.parametrize('share', [0.1, 0.18, 0.5, 0.9])
def test_mix_is_safe_and_no_dearer_than_any_other(needed, share):
    # Compared with all mixes that have the same number of spot engines, and
    # of on-demand engines, in each data centre, up to one engine each.
    rules = ScalingRules(2, 20, 4, share, PRICES)
    chosen = choose_mix(rules, needed)
    assert count_remaining(chosen) >= needed
    for centre in PRICES:
        engines = sum(
            size for pool, size in chosen.items() if pool.data_centre == centre
        )
        assert 2 <= engines <= 20
    for many, few in itertools.product(range(21), repeat=2):
        counts = dict.fromkeys(PRICES, many)
        other = {**spot(**counts), **on_demand(**dict.fromkeys(PRICES, few))}
        if 2 <= many + few <= 20 and count_remaining(other) >= needed:
            assert find_price(rules, chosen) <= find_price(rules, other) + 1e-9


def test_data_centre_with_callers_keeps_an_engine_for_each_role():
    # With one engine, its callers' prompts would cross to another data centre
    # to be prefilled or decoded, and not be served during a partition.
    rules = ScalingRules(0, 20, 4, 0.9, PRICES)
    sizes = choose_mix(rules, 2, Availability(('a', 'c')))
    for centre, least in (('a', 2), ('b', 0), ('c', 2)):
        engines = sum(
            size for pool, size in sizes.items() if pool.data_centre == centre
        )
        assert engines >= least


def test_mix_does_without_an_exhausted_pool():
    # No spot engines are left in one data centre for minutes. Counted on, they
    # would be missing when another data centre loses its own.
    sizes = choose_mix(RULES, 12, Availability(exhausted=set(spot(a=0, b=0))))
    assert sizes[Pool('a', CapacityKind.SPOT)] == 0
    assert count_remaining(sizes) >= 12


def test_largest_size_is_within_the_limits():
    # The limits allow no safe mix; most engines must serve all the same.
    sizes = choose_mix(RULES, 200)
    assert sum(sizes.values()) == 60
    assert count_remaining(sizes) == 60


def test_on_demand_engines_stay_until_spot_engines_serve():
    # If they were removed at once, no engine would serve while others boot.
    start = on_demand(a=10, b=10, c=10)
    assert plan_sizes(RULES, 12, start)[Pool('a', CapacityKind.ON_DEMAND)] == 10
    booted = {**start, **spot(a=10, b=10, c=10)}
    planned = plan_sizes(RULES, 12, booted)
    assert planned == {**on_demand(a=2, b=0, c=0), **spot(a=10, b=10, c=10)}


def test_on_demand_engines_stay_for_a_second_reclaim():
    # One data centre has lost its spot engines; the next may follow at once.
    present = {**on_demand(a=6, b=6, c=0), **spot(b=12, c=12)}
    sizes = plan_sizes(RULES, 12, present)
    assert sizes[Pool('a', CapacityKind.ON_DEMAND)] == 6
    reclaimed = Availability(reclaimed=set(spot(a=0)))
    sizes = plan_sizes(RULES, 12, present, reclaimed)
    assert sizes[Pool('a', CapacityKind.ON_DEMAND)] == 0


def test_missing_engines_are_replaced_where_they_cost_least():
    # Two data centres have lost their spot engines, the third has too few.
    present = spot(b=5)
    lost = Availability(reclaimed=set(spot(a=0, c=0)))
    sizes = plan_sizes(RULES, 12, present, lost)
    assert sizes[Pool('a', CapacityKind.ON_DEMAND)] == 0, 'b gets more'
    refused = Availability(refused=set(spot(a=0, b=0, c=0)))
    sizes = plan_sizes(RULES, 12, present, refused)
    assert sizes[Pool('a', CapacityKind.ON_DEMAND)] == 7
    closed = Availability(refused=refused.refused, closed=set(on_demand(a=0)))
    sizes = plan_sizes(RULES, 12, present, closed)
    assert sizes[Pool('c', CapacityKind.ON_DEMAND)] == 7


def test_engines_of_both_kinds_stay_within_the_limit():
    # Spot engines are ordered while on-demand engines still serve.
    sizes = plan_sizes(RULES, 18, on_demand(a=15, b=15, c=15))
    assert sizes[Pool('b', CapacityKind.SPOT)] == 5


def test_size_bounds_the_mean_wait_and_the_slots():
    for load in (0.2, 1, 3, 7.5, 20):
        demand = Demand(load, streams=4 * load, prefills=load / 0.25)
        engines = count_engines(demand, TRAITS)
        prefill = engines - math.ceil(engines / 3)
        assert load <= 0.6 * prefill
        assert estimate_wait_s(load, 0.25, prefill) <= 0.56 / 4
    assert count_engines(Demand(streams=100), TRAITS) == 52


def test_wait_of_one_server_is_the_known_one():
    # With one server, the mean wait is load / (1 - load) service times.
    assert estimate_wait_s(0.5, 0.2, 1) == pytest.approx(0.2)
    assert estimate_wait_s(0, 0.2, 1) == 0


@pytest.mark.parametrize(
    ('rules', 'field'),
    [
        (RULES, ''),
        (ScalingRules(-1, 20, 4, 0.18, PRICES), 'min_engines'),
        (ScalingRules(5, 4, 4, 0.18, PRICES), 'max_engines'),
        (ScalingRules(1, 20, float('nan'), 0.18, PRICES), 'boot_s'),
        (ScalingRules(1, 20, 4, -0.1, PRICES), 'spot_share'),
        (ScalingRules(1, 20, 4, 0.18, {}), 'prices'),
        (ScalingRules(1, 20, 4, 0.18, {'a': float('inf')}), 'prices'),
    ],
)
def test_invalid_rules_are_named(rules, field):
    # With such rules the size would be computed from a value that means
    # nothing.
    assert find_invalid_field(rules) == field
