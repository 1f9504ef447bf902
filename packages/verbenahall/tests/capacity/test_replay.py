"""Cost and service of a replayed day, next to other policies."""

import pytest
from verbenahall_standins.sizing import (
    LATE_S,
    PATTERNS,
    RULES,
    STEADY_S,
    UNSERVED_S,
    FixedSize,
    Following,
    Reactive,
    Replay,
    find_bound,
)


@pytest.mark.parametrize('pattern', PATTERNS, ids=lambda one: one.name)
@pytest.mark.parametrize('seed', [1, 2])
def test_size_follows_the_load(pattern, seed):
    # A fixed size costs three times as much; one that follows the load of the
    # moment serves a tenth of the prompts late, or not at all.
    fixed = Replay(pattern, FixedSize({}), seed).run()
    followed = Replay(pattern, Following(), seed).run()
    assert followed.count_waits(UNSERVED_S) <= fixed.count_waits(UNSERVED_S)
    assert followed.count_waits(LATE_S) <= fixed.count_waits(LATE_S)
    bound = find_bound(followed.demands, STEADY_S)
    assert followed.find_cost(STEADY_S) <= 1.15 * bound
    naive = Replay(pattern, Reactive(), seed).run()
    assert naive.count_waits(LATE_S) > 10 * followed.count_waits(LATE_S)


class Successor:
    """A policy whose holder is killed right after its record is written."""

    def __init__(self, killed_at):
        self.killed_at = killed_at
        self.holder = Following()

    def decide(self, fleet, demand, now):
        if now < self.killed_at:
            self.holder.decide(fleet, demand, now)
        elif self.killed_at <= now < self.killed_at + 9:
            return
        else:
            self.resume(demand, now)
            self.holder.decide(fleet, demand, now)

    def resume(self, demand, now):
        if self.killed_at < float('inf'):
            targets = self.holder.orders.targets
            self.killed_at = float('inf')
            self.holder = Following()
            self.holder.orders.resume(targets, now)
            self.holder.planner.resume(demand, now)


@pytest.mark.parametrize('killed_at', [18, 24, 30, 61, 67, 111])
def test_change_of_the_holder_costs_no_service(killed_at):
    # The holder dies while engines boot, are given back or are reclaimed; the
    # lease runs out before another instance orders.
    pattern = next(one for one in PATTERNS if one.name == 'losses')
    fixed = Replay(pattern, FixedSize({}), 1).run()
    replay = Replay(pattern, Successor(killed_at), 1).run()
    assert replay.count_waits(UNSERVED_S) <= fixed.count_waits(UNSERVED_S)
    assert replay.count_waits(LATE_S) <= fixed.count_waits(LATE_S) + 2


def test_no_engine_is_given_back_and_ordered_again_at_once():
    # Oscillation: each engine that boots has an empty prefix cache.
    pattern = next(one for one in PATTERNS if one.name == 'alternating')
    policy = Watched()
    Replay(pattern, policy, 1).run()
    steady = [size for now, size in policy.sizes if now > 60]
    falls = sum(
        after < before
        for before, after in zip(steady, steady[1:], strict=False)
    )
    assert falls <= 12
    assert max(steady) <= len(RULES.prices) * RULES.max_engines


class Watched:
    """The policy, and the sum of its targets by time."""

    def __init__(self):
        self.sizes = []
        self.policy = Following()

    def decide(self, fleet, demand, now):
        self.policy.decide(fleet, demand, now)
        targets = self.policy.orders.targets
        self.sizes.append((now, sum(targets.values())))
