"""Factors of engines: learned quickly, robust, and passed on to peers."""

import random

import pytest
from verbenahall.engine_speeds import EngineSpeeds, SharedTime
from verbenahall.fleet import Role
from verbenahall.placement import PlacementState, PrefillSample
from verbenahall_standins.replay import TRAITS, make_entry

FAST, SLOW, OTHER = (make_entry(name, Role.PREFILL) for name in 'abc')
TRUE_FACTORS = {'a': 0.41, 'b': 1, 'c': 1}


def record(speeds, engine, ratio, now, share=1, *, crowded=False):
    speeds.record_prefill(engine, ratio, share=share, crowded=crowded, now=now)


def learn(speeds, seconds=4, scale=1.0):
    """Record ten prefills a second at each of the three engines."""
    for number in range(seconds * 10):
        for engine in (FAST, SLOW, OTHER):
            record(
                speeds, engine, scale * TRUE_FACTORS[engine.name], number / 10
            )
    return seconds


def test_equal_engines_have_a_factor_of_exactly_one():
    # Measurements scatter. With factors other than 1, a deployment of equal
    # engines would place prompts by chance.
    speeds = EngineSpeeds()
    rng = random.Random(2)
    for number in range(600):
        engine = (FAST, SLOW, OTHER)[number % 3]
        record(speeds, engine, rng.uniform(0.8, 1.25), number / 20)
        assert speeds.find_prefill_factor(engine, number / 20) == 1
    assert not speeds.list_long_term('reader')
    assert not speeds.export(0)


def test_change_of_speed_is_tracked_within_a_second():
    # An engine is 2.5 times slower for 0.6 s; prompts that are sent to it
    # meanwhile would be late.
    speeds = EngineSpeeds()
    now = learn(speeds)
    assert speeds.find_prefill_factor(SLOW, now) == pytest.approx(1, rel=0.1)
    for number in range(3):
        record(speeds, SLOW, 2.5, now + number * 0.1)
    slowed = speeds.find_prefill_factor(SLOW, now + 0.3)
    assert slowed == pytest.approx(2.5, rel=0.2)
    # Nothing is sent to it any more, so nothing shows that it has recovered.
    assert speeds.find_prefill_factor(SLOW, now + 5) < 1.3


def test_one_prefill_that_waited_changes_little():
    # It waited for a prefill of an instance that does not report here.
    speeds = EngineSpeeds()
    now = learn(speeds)
    record(speeds, SLOW, 6, now)
    assert speeds.find_prefill_factor(SLOW, now) < 1.2


def test_factors_are_relative_to_the_typical_engine():
    # The common estimate follows the fast engines. If factors were relative to
    # it, both would move against each other, and an engine without
    # measurements would look fast.
    speeds = EngineSpeeds()
    now = learn(speeds, scale=1.6)
    new = make_entry('new', Role.PREFILL)
    assert speeds.find_prefill_factor(SLOW, now) == pytest.approx(1, rel=0.1)
    assert speeds.find_prefill_factor(new, now) == 1
    assert speeds.find_level('reader') == pytest.approx(1.6, rel=0.1)


def test_slowdown_close_to_full_is_learned_apart():
    # An engine slows down when most of its slots are taken. The same factor
    # for both states would be wrong for each of them.
    speeds = EngineSpeeds()
    now = learn(speeds)
    for number in range(20):
        record(speeds, SLOW, 1.8, now + number * 0.1, crowded=True)
    now += 20
    assert speeds.find_prefill_factor(SLOW, now) < 1.1
    assert speeds.find_prefill_factor(SLOW, now, crowded=True) > 1.6


def test_common_estimate_does_not_drift():
    # Most prompts go to the fast engine. The estimate for the others must not
    # fall because of that.
    state = PlacementState()
    rng = random.Random(3)
    for number in range(3000):
        engine = rng.choices((FAST, SLOW, OTHER), (8, 1, 1))[0]
        missing = rng.randint(500, 9000)
        seconds = (0.01 + missing * 5e-5) * TRUE_FACTORS[engine.name]
        state.record_prefill_time(
            engine, PrefillSample(missing, 0, seconds), TRAITS, number / 50
        )
    speeds = state.engine_speeds
    expected_s = state.prefill_speed.predict_s(6000, 0)
    expected_s = (expected_s + state.prefill_speed.start_s) * speeds.find_level(
        'reader'
    )
    for engine in (FAST, SLOW):
        true_s = 0.31 * TRUE_FACTORS[engine.name]
        factor = speeds.find_prefill_factor(engine, 60)
        assert expected_s * factor == pytest.approx(true_s, rel=0.15)


def test_restarted_engine_is_not_known():
    # Another machine may run under the name.
    speeds = EngineSpeeds()
    now = learn(speeds)
    restarted = make_entry('a', Role.PREFILL, born=7)
    assert speeds.find_prefill_factor(FAST, now) < 0.5
    assert speeds.find_prefill_factor(restarted, now) == 1


def test_scheduler_that_takes_over_starts_with_reported_factors():
    """The scheduler of a group is killed; another instance succeeds it.

    Without the factors in heartbeats, it would send long prompts to slow
    engines until it had measured each of them.
    """
    killed = EngineSpeeds()
    now = learn(killed, scale=1.3)
    successor = EngineSpeeds()
    successor.adopt(killed.export(0))
    assert successor.find_prefill_factor(FAST, now) == pytest.approx(
        0.41, rel=0.1
    )
    assert successor.find_prefill_factor(SLOW, now) == 1
    # Its own measurements, first of the fast engine, agree with the report.
    for number in range(12):
        record(successor, FAST, 0.41, now + number / 10)
    for number in range(12):
        record(successor, SLOW, 1, now + 2 + number / 10)
        record(successor, OTHER, 1, now + 2 + number / 10)
    assert successor.find_prefill_factor(SLOW, now + 5) == pytest.approx(
        1, rel=0.1
    )


def test_share_of_engine_time_is_that_of_processor_sharing():
    # Two prefills that overlap take twice as long each. Without their share, a
    # busy engine would look slow.
    shared = SharedTime()
    shared.start(1, 'a', 0)
    shared.start(2, 'a', 1)
    assert shared.end(1, 3) == pytest.approx(2 / 3)
    assert shared.end(2, 4) == pytest.approx(2 / 3)
    assert not shared.end(2, 5)
    shared.start(3, 'a', 10)
    assert shared.end(3, 11) == pytest.approx(1)
