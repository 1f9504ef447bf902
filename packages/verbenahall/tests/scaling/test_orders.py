"""When orders for engines are sent, repeated and held back."""

import pytest

from verbenahall.capacity import CapacityKind, Pool, plan_sizes
from verbenahall.catalog import ScalingRules
from verbenahall.scaling import PoolOrders

PRICES = {'a': 0.85, 'b': 1.2, 'c': 1.0}
RULES = ScalingRules(1, 20, 4, 0.18, PRICES)


def spot(**sizes):
    return {
        Pool(centre, CapacityKind.SPOT): size for centre, size in sizes.items()
    }


def on_demand(**sizes):
    return {
        Pool(centre, CapacityKind.ON_DEMAND): size
        for centre, size in sizes.items()
    }


START = on_demand(a=10, b=10, c=10)


class Fleet:
    """Sends orders for ``needed`` engines, and holds those present."""

    def __init__(self, present=None, needed=10):
        self.now = 100
        self.needed = needed
        self.orders = PoolOrders()
        self.present = dict(present or START)

    def choose(self):
        self.orders.record_present(self.present, self.now)
        available = self.orders.describe((), RULES, self.now)
        wanted = plan_sizes(RULES, self.needed, self.present, available)
        return self.orders.choose(wanted, RULES, self.now)

    def send(self):
        chosen = self.choose()
        for pool, size in chosen.items():
            self.orders.record_ordered(pool, size, self.now)
        return chosen

    def settle(self):
        """Carry out all orders until none follows."""
        for _ in range(40):
            self.now += 4
            self.present.update(self.send())
        return self


def test_on_demand_engines_stay_while_spot_engines_boot():
    # If they were removed at once, no engine would serve while others boot.
    fleet = Fleet()
    assert fleet.send() == spot(a=10, b=10, c=10)
    fleet.now += 4
    fleet.present.update(spot(a=10, b=10, c=7))
    assert not fleet.send()
    fleet.present.update(spot(a=10, b=10, c=10))
    assert fleet.send()


def test_engines_are_given_back_by_a_quarter_dearest_first():
    # Each engine that leaves takes its prefix cache along. Given back all at
    # once, the prompts of all of them would be prefilled again together.
    fleet = Fleet({**START, **spot(a=10, b=10, c=10)})
    assert fleet.send() == on_demand(b=0, c=5)
    fleet.present.update(on_demand(b=0, c=5))
    fleet.now += 1
    assert not fleet.send()
    fleet.now += 2.1
    assert fleet.send() == on_demand(c=0, a=4)


def test_nothing_is_given_back_after_a_loss():
    # Engines have crashed; those that are left take over their load.
    fleet = Fleet().settle()
    fleet.needed = 5
    fleet.present[Pool('a', CapacityKind.SPOT)] = 8
    assert not fleet.send()
    fleet.now += 3.9
    assert not fleet.send()
    fleet.now += 4
    assert fleet.send()


def test_more_engines_are_ordered_at_once():
    fleet = Fleet().settle()
    fleet.needed = 14
    assert fleet.send() == spot(a=14, b=14, c=14)
    fleet.now += 0.4
    fleet.needed = 15
    assert fleet.send() == spot(a=15, b=15, c=15)


def test_pool_without_capacity_is_retried_later():
    fleet = Fleet()
    pool = Pool('a', CapacityKind.SPOT)
    fleet.orders.closures.record_unavailable(pool, fleet.now)
    assert pool not in fleet.choose()
    fleet.now += 1.1
    assert pool in fleet.choose()
    fleet.orders.closures.record_unavailable(pool, fleet.now)
    fleet.now += 1.1
    assert pool not in fleet.choose()


def test_pool_that_stays_without_capacity_is_replaced():
    # The spot engines of one data centre do not come back. Both others may
    # lose theirs, so that on-demand engines must be able to serve alone.
    fleet = Fleet().settle()
    pool = Pool('a', CapacityKind.SPOT)
    fleet.present.pop(pool)
    assert not fleet.send()
    for _ in range(12):
        fleet.now += 2
        chosen = fleet.choose()
        if pool in chosen:
            fleet.orders.closures.record_unavailable(pool, fleet.now)
    assert (
        sum(
            size
            for one, size in fleet.send().items()
            if one.kind is CapacityKind.ON_DEMAND
        )
        == 10
    )


def test_order_that_an_older_one_has_replaced_is_sent_again():
    # An unanswered call is carried out late, after a newer one.
    fleet = Fleet().settle()
    fleet.present[Pool('c', CapacityKind.SPOT)] = 3
    assert not fleet.send()
    fleet.now += 2
    assert not fleet.send()
    fleet.now += 5.1
    assert fleet.send() == spot(c=10)


def test_on_demand_engines_stay_for_a_while_after_a_reclaim():
    # Another data centre may lose its spot engines soon.
    fleet = Fleet().settle()
    for pool in spot(a=0, b=0, c=0):
        fleet.orders.closures.record_unavailable(pool, fleet.now)
    fleet.present = spot(b=4)
    assert fleet.send() == on_demand(a=6)
    fleet.now += 4
    fleet.present = {**on_demand(a=6), **spot(a=10, b=10, c=10)}
    assert not fleet.send()
    fleet.now += 5
    assert not fleet.send()
    fleet.now += 5.1
    assert fleet.send() == on_demand(a=0)


@pytest.mark.parametrize('waited_s', [0.4, 6.9])
def test_successor_waits_for_orders_in_progress(waited_s):
    # The holder is killed after its orders. Its successor does not see the
    # engines yet; it would order all of them again, and pools that have no
    # capacity would refuse once more.
    fleet = Fleet(spot(a=10))
    fleet.orders.resume(spot(a=10, b=10, c=10), fleet.now)
    fleet.now += waited_s
    assert not fleet.send()
    fleet.now += 7.1 - waited_s
    assert fleet.send() == spot(b=10, c=10)


def test_successor_gives_nothing_back_before_it_knows_the_peaks():
    # Load has just fallen and may be back; only the predecessor knew it.
    fleet = Fleet({**START, **spot(a=10, b=10, c=10)})
    fleet.orders.resume(fleet.present, fleet.now)
    fleet.now += 19
    assert not fleet.send()
    fleet.now += 2
    assert fleet.send()
