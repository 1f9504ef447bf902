"""Groups of engines whose phases of load are apart help each other."""

import collections
import itertools
import random
import types

import pytest
from verbenahall import overflow

#: Objective of all prompts, and the time to prefill one, in seconds.
OBJECTIVE_S = 0.6
PREFILL_S = 0.05
#: Length of a phase, and its loads as shares of what a group can prefill
#: (pattern 1).
PHASE_S = 2.8
HIGH_LOAD, LOW_LOAD = 1.35, 0.3
ENGINES = 4
PERIOD_S = PREFILL_S / ENGINES
DURATION_S = 28
SERVICE = 'm'
OTHER = types.MappingProxyType({'a': 'b', 'b': 'a'})
#: Least time between prompts in one direction and in the other, in seconds.
TURN_S = 1


class Group:
    """A group whose engines prefill one prompt after the other."""

    def __init__(self, name):
        self.name = name
        self.load = overflow.GroupLoad()
        self.free_at = 0

    def get_status(self, now):
        return overflow.describe_load(self.load, (), now)

    def assign(self, now):
        """Queue a prompt; return how long it waits."""
        wait_s = max(0, self.free_at - now)
        self.free_at = max(self.free_at, now) + PERIOD_S
        overflow.record_objective(self.load, OBJECTIVE_S)
        overflow.record_wait(self.load, wait_s, now)
        return wait_s

    def accepts(self, spilled, now):
        return not spilled or overflow.accepts_spill(
            self.load, spilled, (), now
        )


def generate_arrivals(rng):
    """Yield times and the groups by prefix; their phases alternate."""
    for tick in range(int(DURATION_S / PERIOD_S)):
        now = tick * PERIOD_S
        phase = int(now / PHASE_S) % 2
        for number, name in enumerate('ab'):
            share = HIGH_LOAD if number == phase else LOW_LOAD
            for _ in range(int(share + rng.random())):
                yield now, name


class Replay:
    """Prompts of eight instances for two groups.

    ``waits`` holds how long each prompt waited, ``taken`` when which group took
    a prompt of the other one.
    """

    def __init__(self, *, has_overflow, prefix_share=0.05):
        self.has_overflow = has_overflow
        self.prefix_share = prefix_share
        self.groups = {name: Group(name) for name in 'ab'}
        self.instances = [overflow.StatusTable() for _ in range(8)]
        self.waits = []
        self.taken = []
        rng = random.Random(4)
        for now, name in generate_arrivals(rng):
            self._send(rng.choice(self.instances), name, now)

    def _send(self, statuses, name, now):
        """Ask the groups for one prompt in order until one accepts it."""
        order = self._order(statuses, name, now)
        for target in order.groups:
            group = self.groups[target]
            spilled = order.find_spilled(target)
            accepted = group.accepts(spilled, now)
            if accepted:
                self.waits.append(group.assign(now))
            if accepted and spilled:
                self.taken.append((now, target))
            statuses.record(SERVICE, target, group.get_status(now), now)
            if accepted:
                return

    def _order(self, statuses, name, now):
        groups = (name, OTHER[name])
        if not self.has_overflow:
            return overflow.GroupOrder(groups)
        return overflow.order_groups(
            statuses, SERVICE, groups, self.prefix_share, now
        )


def find_late_share(waits):
    """Return the share of prompts that wait for over half of the objective."""
    return sum(wait > OBJECTIVE_S / 2 for wait in waits) / len(waits)


def test_phases_that_are_apart_are_served_by_both_groups():
    # One data centre gets long prompts while the other one is nearly idle. The
    # prompts waited with their prefix, and the idle engines got none.
    shared = Replay(has_overflow=True)
    late_share = find_late_share(Replay(has_overflow=False).waits)
    assert shared.taken
    assert round(late_share, 1) == pytest.approx(0.6)
    assert find_late_share(shared.waits) < late_share / 4


def test_no_two_groups_offload_to_each_other():
    taken = Replay(has_overflow=True).taken
    last = collections.defaultdict(lambda: -float('inf'))
    for now, target in taken:
        last[target] = now
        assert now > last[OTHER[target]] + TURN_S


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
