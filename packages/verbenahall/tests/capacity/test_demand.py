"""Demand is counted by each instance and summed up at the holder."""

import pytest
from returns.maybe import Nothing, Some
from verbenahall.capacity import (
    Availability,
    CapacityKind,
    CapacityPlanner,
    Demand,
    DemandMeter,
    DemandSum,
    DemandTable,
    Pool,
    ServiceTraits,
    count_engines,
    count_safe,
    decode_sum,
    encode_sum,
)
from verbenahall.catalog import ScalingRules
from verbenahall.placement import PlacementState

RULES = ScalingRules(1, 40, 4, 0.18, {'a': 0.8, 'b': 1, 'c': 1.25})
TRAITS = ServiceTraits(slots=8, objective_s=0.56)
LOAD = Demand(3, 14, 25.5)


def test_meter_counts_engine_time_and_forgets_it():
    meter = DemandMeter(PlacementState())
    for step in range(200):
        meter.record_prefill('drafter', 0.05, step / 10)
    demand = meter.read({'drafter': 7, 'other': 0}, 20)['drafter']
    assert demand.prefill_s == pytest.approx(0.5, rel=0.1)
    assert demand.prefills == pytest.approx(10, rel=0.1)
    assert demand.streams == 7
    assert not meter.read({}, 60)


def test_sum_is_encoded_within_a_datagram():
    many = DemandSum(
        'dc-1', {f'service-{n}': Demand(9, 9, 9) for n in range(30)}
    )
    assert decode_sum(encode_sum(many)) == Some(many)
    assert len(encode_sum(many)) <= 1400


@pytest.mark.parametrize(
    'datagram',
    [
        b'{"from":"a"}',
        b'{"demand_sum":',
        b'{"demand_sum":[],"dc":"a"}',
        b'{"demand_sum":{"s":[1]},"dc":"a"}',
        b'{"demand_sum":{"s":[-1,2]},"dc":"a"}',
        b'{"demand_sum":{"s":["x",2]},"dc":"a"}',
        b'{"demand_sum":{"s":[1,2]},"dc":5}',
    ],
)
def test_invalid_sums_are_rejected(datagram):
    # A datagram of another version must not stop the holder.
    assert decode_sum(datagram) is Nothing


def test_silent_data_centre_counts_with_its_last_sum_then_with_the_mean():
    # A partition separates a data centre from the holder, whose callers are
    # still there. Without its demand, its engines would be given back.
    table = DemandTable()
    for centre, seconds in (('a', 2), ('b', 4), ('c', 9)):
        table.record(DemandSum(centre, {'drafter': Demand(seconds)}), 0)
    for now in range(1, 60):
        for centre, seconds in (('a', 2), ('b', 4)):
            table.record(DemandSum(centre, {'drafter': Demand(seconds)}), now)
        total = table.total('drafter', now).prefill_s
        expected = 15 if now < 13 else 9
        assert total == pytest.approx(expected), now
    assert table.list_centres() == ['a', 'b', 'c']
    table.record(DemandSum('a', {'drafter': LOAD}), 200)
    assert table.total('drafter', 200) == LOAD


class Holder:
    """A planner that is told the load at each tick of 0.4 s."""

    def __init__(self, present):
        self.now = 0
        self.planner = CapacityPlanner()
        self.present = present
        self.engines = 1000

    def run(self, length_s, load):
        """Return the targets after some seconds of a load."""
        until = self.now + length_s
        while self.now < until:
            self.now += 0.4
            demand = Demand(load(self.now), 0, load(self.now) / 0.2)
            self.planner.record_demand(
                demand, TRAITS, RULES, self.engines, self.now
            )
        return self.planner.plan(
            RULES, self.present, Availability(tuple('abc')), self.now
        )


def test_size_of_the_start_is_kept_until_traffic_is_known():
    # Traffic begins some 16 s after the start. Engines that are given back
    # before would be missing then, if two data centres lose their spot engines.
    start = {Pool(one, CapacityKind.ON_DEMAND): 15 for one in RULES.prices}
    holder = Holder(start)
    assert not holder.run(1, lambda now: 0)
    planned = holder.run(15, lambda now: 0)
    assert all(planned[pool] == size for pool, size in start.items())
    spot = [planned[Pool(one, CapacityKind.SPOT)] for one in RULES.prices]
    assert min(spot) > 0
    holder.present = {**start, **{pool: planned[pool] for pool in planned}}
    for seconds in (1, 5, 2):
        kept = holder.run(seconds, lambda now: 5 if now > 20 else 0)
        on_demand = sum(kept[pool] for pool in start)
        spot = [kept[Pool(one, CapacityKind.SPOT)] for one in RULES.prices]
        assert on_demand < 45
        assert on_demand + count_safe(spot) >= 45
    later = holder.run(20, lambda now: 5)
    assert sum(later[pool] for pool in start) < on_demand


def test_size_of_the_start_is_exceeded_only_by_saturated_engines():
    # Nine engines bear a load that keeps four of their six prefill engines
    # busy. More of them would serve nobody better.
    start = {Pool(one, CapacityKind.ON_DEMAND): 3 for one in RULES.prices}
    holder = Holder(start)
    holder.engines = 9
    holder.run(1, lambda now: 0)
    holder.run(3, lambda now: 0)
    holder.run(30, lambda now: 4)
    assert holder.planner.find_needed(holder.now) == 9
    holder.run(5, lambda now: 5)
    assert holder.planner.find_needed(holder.now) > 9


def test_holder_that_starts_within_traffic_only_adds_engines_at_first():
    # It knows neither the size of the start nor the load of long enough.
    start = {Pool(one, CapacityKind.ON_DEMAND): 15 for one in RULES.prices}
    holder = Holder(start)
    assert not holder.run(5, lambda now: 5)
    early = holder.run(4, lambda now: 5)
    assert all(early[pool] == size for pool, size in start.items())
    later = holder.run(2, lambda now: 5)
    assert sum(later[pool] for pool in start) < 45


def test_lost_spot_engines_are_replaced_before_traffic():
    on_demand = {Pool(one, CapacityKind.ON_DEMAND): 5 for one in 'abc'}
    spot = {Pool(one, CapacityKind.SPOT): 6 for one in 'abc'}
    holder = Holder({**on_demand, **spot})
    holder.run(1, lambda now: 0)
    before = holder.run(3, lambda now: 0)
    pool = Pool('a', CapacityKind.SPOT)
    holder.present = {**on_demand, **spot, pool: 0}
    after = holder.run(1, lambda now: 0)
    assert before[pool]
    assert after[pool] == before[pool]


def test_rise_is_forecast_over_the_boot_time():
    # Load rises threefold within 20 s; engines for the present load would
    # come one boot time too late.
    holder = Holder({})
    holder.run(30, lambda now: 30)
    holder.run(10, lambda now: 30 + 3 * (now - 30))
    present = count_engines(Demand(60, 0, 300), TRAITS)
    later = count_engines(Demand(72, 0, 360), TRAITS)
    needed = holder.planner.find_needed(holder.now)
    assert present + 0.5 * (later - present) < needed <= later


def test_alternating_mix_is_no_rise():
    # Demand swings every 2.8 s. Each upswing as a trend would double the size.
    holder = Holder({})
    holder.run(60, lambda now: (5, 2)[int(now / 2.8) % 2])
    steady = Holder({})
    steady.run(60, lambda now: 5)
    assert holder.planner.find_needed(60) == steady.planner.find_needed(60)


def test_saturated_engines_need_more_than_their_demand():
    # Too few engines are left, prompts wait, and what is sent is only what the
    # engines can take. Sized by that, they would never catch up.
    holder = Holder({})
    holder.run(30, lambda now: 5)
    before = holder.planner.find_needed(holder.now)
    holder.engines = 9
    holder.run(1, lambda now: 5)
    assert holder.planner.find_needed(holder.now) >= 1.4 * before


def test_size_has_a_reserve_for_a_rise_while_engines_are_reclaimed():
    # Two data centres lose their spot engines while load rises: those that are
    # left are just enough for the load of before.
    present = {Pool(one, CapacityKind.SPOT): 14 for one in 'bc'}
    holder = Holder(present)
    holder.run(30, lambda now: 5)
    reclaimed = Availability(
        tuple('abc'), reclaimed={Pool('a', CapacityKind.SPOT)}
    )
    sizes = holder.planner.plan(RULES, present, reclaimed, holder.now)
    assert sizes[Pool('b', CapacityKind.SPOT)] == 20


def test_fall_counts_only_after_the_peaks_of_20_s():
    # Load falls to a third and is back within 20 s.
    holder = Holder({})
    holder.run(40, lambda now: 9)
    peak = holder.planner.find_needed(holder.now)
    holder.run(19, lambda now: 3)
    assert holder.planner.find_needed(holder.now) == peak
    holder.run(3, lambda now: 3)
    assert holder.planner.find_needed(holder.now) < peak / 2
