"""Retries stay within the limit of every time window."""

import random

from verbenahall.requests import WindowBudget


class Clock:
    """A clock that is set by the test."""

    def __init__(self):
        self.seconds = 0

    def __call__(self):
        return self.seconds


def make_budget(clock):
    return WindowBudget(share=0.16, burst=4, window_s=10, now=clock)


def test_burst_of_retries_may_use_the_whole_window():
    # The crash of an engine breaks twenty streams in one second. With a token
    # bucket of four sends, sixteen of them failed although the limit of the
    # window allowed all retries.
    clock = Clock()
    budget = make_budget(clock)
    for _ in range(100):
        clock.seconds += 0.1
        budget.record_request()
    assert sum(budget.try_spend() for _ in range(30)) == 20


def test_no_window_exceeds_its_bound():
    # Failures come in bursts at random times. More retries in any window than
    # the operators allow would add load to a fleet that already fails.
    clock = Clock()
    budget = make_budget(clock)
    source = random.Random(7)
    requests, sends = [], []
    for _ in range(3000):
        clock.seconds += source.expovariate(10)
        requests.append(clock.seconds)
        budget.record_request()
        for _ in range(source.choice((0, 0, 0, 0, 3))):
            if budget.try_spend():
                sends.append(clock.seconds)
    for since in sends:
        sent_in_window = sum(since <= at <= since + 10 for at in sends)
        requests_in_window = sum(
            since - 10 <= at <= since + 10 for at in requests
        )
        assert sent_in_window <= 0.16 * requests_in_window + 4


def test_several_sends_are_taken_together_or_not_at_all():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.try_spend(3)
    assert not budget.try_spend(2)
    assert budget.try_spend(1)


def test_refunded_sends_may_be_made_later():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.try_spend(4)
    budget.refund(2)
    assert budget.try_spend(2)
    assert not budget.try_spend()


def test_refund_of_sends_that_left_the_window_allows_no_more():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.try_spend(1)
    clock.seconds = 10.1
    assert not budget.try_spend(5)
    budget.refund(1)
    assert not budget.try_spend(5)


def test_sends_leave_the_window():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.try_spend(4)
    assert not budget.try_spend()
    clock.seconds = 10.1
    assert budget.try_spend(4)
