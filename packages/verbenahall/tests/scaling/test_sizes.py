"""Target sizes of pools, and when orders are sent."""

import pytest

from verbenahall.catalog import ScalingRules
from verbenahall.scaling import CapacityKind, Pool
from verbenahall.scaling._decisions import EngineMix, choose_mix, plan_sizes
from verbenahall.scaling._state import PoolOrders

PRICES = {'a': 0.85, 'b': 1.2, 'c': 1.0}
RULES = ScalingRules(1, 20, 4, 0.18, PRICES)
START = {Pool(centre, CapacityKind.ON_DEMAND): 10 for centre in PRICES}


def spot(**sizes):
    return {
        Pool(centre, CapacityKind.SPOT): size for centre, size in sizes.items()
    }


def on_demand(**sizes):
    return {
        Pool(centre, CapacityKind.ON_DEMAND): size
        for centre, size in sizes.items()
    }


@pytest.mark.parametrize(
    ('centres', 'most', 'share', 'mix'),
    [
        (3, 40, 0.18, EngineMix(0, 30)),
        (3, 20, 0.18, EngineMix(5, 15)),
        (3, 20, 0.9, EngineMix(10, 0)),
        (2, 20, 0.18, EngineMix(10, 10)),
        (1, 40, 0.18, EngineMix(30, 0)),
        (15, 10, 0.18, EngineMix(0, 3)),
        (3, 4, 0.18, EngineMix(4, 0)),
    ],
)
def test_cheapest_mix_keeps_enough_engines_after_reclaims(
    centres,
    most,
    share,
    mix,
):
    prices = {f'dc-{number}': 1 for number in range(centres)}
    assert choose_mix(ScalingRules(1, most, 4, share, prices), 30) == mix


def test_service_without_cheaper_spot_instances_gets_no_orders():
    rules = ScalingRules(1, 20, 4, 0.9, PRICES)
    assert not plan_sizes(rules, 30, START, ())


def test_both_kinds_together_stay_within_the_bound():
    sizes = plan_sizes(RULES, 30, START, ())
    assert sizes == {**spot(a=10, b=10, c=10), **START}


def test_on_demand_engines_are_removed_once_spot_instances_serve():
    present = {**START, **spot(a=10, b=10, c=10)}
    sizes = plan_sizes(RULES, 30, present, ())
    assert sizes == {**spot(a=10, b=10, c=10), **on_demand(a=5, b=5, c=5)}
    present = {**on_demand(a=5, b=5, c=5), **spot(a=10, b=10, c=10)}
    sizes = plan_sizes(RULES, 30, present, ())
    assert sizes == {**spot(a=15, b=15, c=15), **on_demand(a=5, b=5, c=5)}


def test_others_make_up_for_one_reclaimed_data_centre():
    present = {**on_demand(a=5, b=5, c=5), **spot(a=15, b=15)}
    sizes = plan_sizes(RULES, 30, present, ())
    assert sizes == {**spot(a=15, b=15, c=15), **on_demand(a=5, b=5, c=5)}


def test_missing_engines_are_replaced_where_they_cost_least():
    """Two data centres have lost their spot instances at the same time."""
    present = {**on_demand(a=5, b=5, c=5), **spot(b=12)}
    sizes = plan_sizes(RULES, 30, present, ())
    assert sizes == {**spot(a=12, b=15, c=15), **on_demand(a=8, b=5, c=5)}
    closed = {Pool('a', CapacityKind.ON_DEMAND)}
    sizes = plan_sizes(RULES, 30, present, closed)
    assert sizes == {**spot(a=15, b=15, c=12), **on_demand(a=5, b=5, c=8)}


class Fleet:
    """Sends orders, and holds the engines that are present."""

    def __init__(self):
        self.now = 100
        self.orders = PoolOrders()
        self.present = dict(START)

    def choose(self):
        closed = self.orders.list_closed(self.now)
        wanted = plan_sizes(RULES, 30, self.present, closed)
        return self.orders.choose(wanted, self.present, RULES, self.now)

    def send(self):
        chosen = self.choose()
        for pool, size in chosen.items():
            self.orders.record_ordered(pool, size, self.now)
        return chosen


def test_on_demand_engines_stay_while_spot_instances_boot():
    """If they were removed at once, no engine would serve while others boot."""
    fleet = Fleet()
    assert fleet.send() == spot(a=10, b=10, c=10)
    fleet.now += 4
    fleet.present.update(spot(a=10, b=10, c=7))
    assert not fleet.send()
    fleet.present.update(spot(a=10, b=10, c=10))
    assert fleet.send() == on_demand(a=5, b=5, c=5)


def test_pool_without_capacity_is_retried_later():
    fleet = Fleet()
    pool = Pool('a', CapacityKind.SPOT)
    fleet.orders.record_unavailable(pool, fleet.now)
    assert pool not in fleet.choose()
    fleet.now += 1.1
    assert pool in fleet.choose()
    fleet.orders.record_unavailable(pool, fleet.now)
    fleet.now += 1.1
    assert pool not in fleet.choose()


def test_order_that_an_older_one_has_replaced_is_sent_again():
    """An unanswered call is carried out late, after a newer one."""
    fleet = Fleet()
    fleet.send()
    fleet.now += 5
    fleet.present.update(spot(a=10, b=10, c=10))
    fleet.send()
    settled = on_demand(a=5, b=5, c=5)
    fleet.present = {**settled, **spot(a=10, b=10, c=10)}
    assert fleet.send() == spot(a=15, b=15, c=15)
    fleet.now += 5
    fleet.present = {**settled, **spot(a=15, b=15, c=3)}
    assert not fleet.send()
    fleet.now += 3
    assert fleet.send() == spot(c=15)


def test_engines_on_demand_stay_for_a_while_after_a_reclaim():
    """Another data centre may lose its spot instances soon."""
    fleet = Fleet()
    fleet.send()
    fleet.present = {**on_demand(a=5, b=5, c=5), **spot(b=12)}
    fleet.now += 5
    assert fleet.send()[Pool('a', CapacityKind.ON_DEMAND)] == 8
    fleet.now += 5
    fleet.present = {**on_demand(a=8, b=5, c=5), **spot(a=12, b=15, c=15)}
    assert not fleet.send()
    fleet.now += 6
    assert fleet.send() == on_demand(a=5)
