"""Return times, groups and delays of a queue under overload."""

import random

import pytest
from verbenahall.overload import (
    EngineDelays,
    GroupOutcomes,
    ReturnTimes,
    Turn,
)
from verbenahall.placement import UNKNOWN_SOURCE, RequestSource


def make_source(number=0):
    return RequestSource(fingerprint=f'f{number}', caller='c')


def refuse(returns, number, now=0.0, wait_s=0.3, max_s=2.0):
    return returns.schedule(
        make_source(number), wait_s, max_s, 40, now, random.Random(number)
    )


def test_refused_callers_return_one_after_the_other():
    # Callers with the same return time come back as one more burst.
    returns = ReturnTimes()
    times = [refuse(returns, number) for number in range(17)]
    assert times == sorted(times)
    assert 0.3 <= times[0] < 0.4
    assert times[-1] == pytest.approx(0.3 + 16 * 0.1, abs=0.1)
    assert refuse(returns, 99, max_s=0.25) <= 0.25
    assert refuse(returns, 100, max_s=0.01) >= 0.2


@pytest.mark.parametrize(
    ('after', 'turn'),
    [(-0.06, Turn.EARLY), (-0.04, Turn.RETURNED), (5, Turn.RETURNED)],
)
def test_caller_that_returns_as_told_has_a_place(after, turn):
    # Refused again, it would have waited for nothing.
    returns = ReturnTimes()
    retry_s = refuse(returns, 1)
    assert returns.classify(make_source(1), retry_s + after) is turn
    assert returns.classify(make_source(2), retry_s) is Turn.ORDINARY


def test_early_retry_keeps_its_return_time():
    # A caller that retries at once would otherwise move its place forward,
    # or take a second one.
    returns = ReturnTimes()
    retry_s = refuse(returns, 1)
    assert returns.classify(make_source(1), 0.01) is Turn.EARLY
    assert refuse(returns, 1, now=0.01) == pytest.approx(retry_s - 0.01)
    assert returns.classify(make_source(1), retry_s) is Turn.RETURNED
    assert returns.classify(make_source(1), retry_s) is Turn.ORDINARY


def test_caller_without_a_place_ranks_as_a_new_one():
    # More callers than can be served would otherwise all be served first, and
    # no new request would be on time.
    returns = ReturnTimes()
    retry_s = refuse(returns, 1, wait_s=5)
    assert returns.classify(make_source(1), 0.1) is Turn.EARLY
    assert returns.classify(make_source(1), retry_s) is Turn.ORDINARY


def test_records_of_refused_callers_are_bounded():
    # A flood of refusals must not use up the memory.
    returns = ReturnTimes()
    for number in range(5000):
        refuse(returns, number)
    assert len(returns) == 4096
    refuse(returns, 1, now=31.0)
    assert len(returns) == 1
    returns.schedule(UNKNOWN_SOURCE, 0.3, 2, 40, 31, random.Random(1))
    assert len(returns) == 1


def test_group_that_is_refused_far_more_than_all_is_starved():
    # Requests of one instance are refused each time, those of others rarely.
    outcomes = GroupOutcomes()
    unlucky = RequestSource(instance='i1', route='r')
    lucky = RequestSource(instance='i2', route='r')
    for number in range(19):
        outcomes.record(unlucky, 0, missed=True)
        for part in range(4):
            outcomes.record(lucky, 0, missed=not part and number > 15)
    assert not outcomes.find_starved(0)
    outcomes.record(unlucky, 0.3, missed=True)
    assert outcomes.find_starved(0.3) == {('instance', 'i1')}
    assert not outcomes.find_starved(7)


def test_delays_are_known_by_engine_and_fade():
    # One late first event on a slow engine made all requests look late.
    delays = EngineDelays()
    for step in range(10):
        delays.observe('slow', 0.8, step / 10)
        delays.observe('fast', 0, step / 10)
    delays.observe('once', 0.8, 1)
    assert delays.estimate('slow', 1) > 0.5
    assert delays.estimate('fast', 1) == 0
    assert delays.estimate('unknown', 1) == 0
    assert delays.estimate_bound('once', 1) < 0.5
    assert delays.estimate_bound('once', 2) < 0.15
    for step in range(10):
        delays.observe('slow', 0, 1 + step / 10)
    assert delays.estimate_bound('slow', 2) < 0.1
    assert not delays.estimate_bounds(12)
