"""Further sends stay within the bound in every window of time."""

import random

from verbenahall.requests import WindowBudget


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.seconds = 0

    def __call__(self):
        return self.seconds


def make_budget(clock):
    return WindowBudget(share=0.16, slack=4, window_s=10, now=clock)


def test_a_crash_may_use_what_the_window_holds():
    # An engine crashes and breaks twenty streams in one second. A bucket that
    # held four sends gave up sixteen of them though the bound allowed all.
    clock = Clock()
    budget = make_budget(clock)
    for _ in range(100):
        clock.seconds += 0.1
        budget.earn()
    assert sum(budget.spend() for _ in range(30)) == 20


def test_no_window_exceeds_its_bound():
    # Failures come in bursts at any moment. More sends in some window than
    # the operators allow put a failing fleet under even more load.
    clock = Clock()
    budget = make_budget(clock)
    source = random.Random(7)
    requests, sends = [], []
    for _ in range(3000):
        clock.seconds += source.expovariate(10)
        requests.append(clock.seconds)
        budget.earn()
        for _ in range(source.choice((0, 0, 0, 0, 3))):
            if budget.spend():
                sends.append(clock.seconds)
    for since in sends:
        within = sum(since <= at <= since + 10 for at in sends)
        asked = sum(since - 10 <= at <= since + 10 for at in requests)
        assert within <= 0.16 * asked + 4


def test_several_sends_are_taken_together_or_not_at_all():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.spend(3)
    assert not budget.spend(2)
    assert budget.spend(1)


def test_spent_sends_come_back_with_the_window():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.spend(4)
    assert not budget.spend()
    clock.seconds = 10.1
    assert budget.spend(4)
