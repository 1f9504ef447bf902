"""Groups of engines whose phases of load are apart help each other."""

import collections
import itertools

import pytest
from verbenahall import overflow
from verbenahall_standins.overflow_replay import (
    LONG_PREFIX_S,
    OBJECTIVE_S,
    OTHER,
    OverflowReplay,
    Policy,
)

SERVICE = 'm'
#: Least time between prompts in one direction and in the other, in seconds.
TURN_S = 0.9
#: Share of late prompts with the prefix only, at least.
LATE_SHARE = 0.5


def test_phases_that_are_apart_are_served_by_both_groups():
    # One data centre gets long prompts while the other one is nearly idle. The
    # prompts waited with their prefix, and the idle engines got none.
    shared = OverflowReplay(Policy.OVERFLOW)
    alone = OverflowReplay(Policy.PREFIX)
    assert shared.taken
    assert alone.late_share > LATE_SHARE
    assert shared.late_share < alone.late_share / 2
    # Always to the lowest pressure, both groups lose their caches.
    assert shared.late_share < OverflowReplay(Policy.LOWEST).late_share / 2


def test_long_prefixes_are_not_worse_off_than_without():
    # A group took prompts until it was over its own limit. Without its prefix a
    # prompt takes four times the work here.
    shared = OverflowReplay(Policy.OVERFLOW, prefix_s=LONG_PREFIX_S)
    alone = OverflowReplay(Policy.PREFIX, prefix_s=LONG_PREFIX_S)
    assert shared.late_share < alone.late_share + 0.02


def test_no_two_groups_offload_to_each_other():
    taken = OverflowReplay(Policy.OVERFLOW).taken
    last = collections.defaultdict(lambda: -float('inf'))
    pauses_s = []
    for now, target in taken:
        last[target] = now
        pauses_s.append(now - last[OTHER[target]])
    assert min(pauses_s) > TURN_S


def make_table(first, second, at=0):
    """Return the statuses of two groups."""
    table = overflow.StatusTable()
    for name, status in (('a', first), ('b', second)):
        table.record(SERVICE, name, status, at)
    return table


def choose(first, second, prefix_share=0, now=0):
    order = overflow.order_groups(
        make_table(first, second), SERVICE, ('a', 'b', 'c'), prefix_share, now
    )
    return order.groups[0]


@pytest.mark.parametrize(
    ('pressures', 'prefix_share', 'expected'),
    [
        ((0.8, 0), 0, 'a'),
        ((0.9, 0.5), 0, 'b'),
        ((0.9, 0.7), 0, 'a'),
        ((0.9, 0.5), 0.1, 'a'),
        ((2, 0.5), 0.5, 'b'),
    ],
)
def test_prompt_leaves_its_group_only_for_a_gain(
    pressures, prefix_share, expected
):
    statuses = [overflow.GroupStatus(one) for one in pressures]
    assert choose(*statuses, prefix_share) == expected


def test_group_that_takes_prompts_sends_none_back():
    busy = overflow.GroupStatus(0.9, ('b',))
    assert choose(busy, overflow.GroupStatus(0)) == 'a'


def test_old_and_missing_pressures_are_ignored():
    busy, idle = overflow.GroupStatus(0.9), overflow.GroupStatus(0)
    assert choose(busy, idle, now=0.9) == 'b'
    assert choose(busy, idle, now=1.1) == 'a'
    assert choose(busy, None) == 'a'


def test_group_near_its_limit_takes_no_prompt():
    # Two instances know the pressures of different times, and send prompts both
    # ways at once.
    load = overflow.GroupLoad()
    overflow.record_objective(load, OBJECTIVE_S)
    assert overflow.accepts_spill(load, 'b', (), 0)
    assert overflow.describe_load(load, (), 0.9).taking == ('b',)
    assert not overflow.describe_load(load, (), 1.1).taking
    assert not overflow.accepts_spill(load, 'b', (0.2, 0.2, 0.01), 0)


def test_pressure_of_a_queue_that_stands_still_rises():
    load = overflow.GroupLoad()
    overflow.record_objective(load, OBJECTIVE_S)
    pressures = [
        overflow.describe_load(load, (waited_s,), 0).pressure
        for waited_s in (0, 0.15, 0.3, 0.6)
    ]
    assert pressures == [0, 0.5, 1, 2]
    assert all(one < two for one, two in itertools.pairwise(pressures))
