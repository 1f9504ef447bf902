"""One load at each engine, from few instances and from many."""

import functools

import pytest
from verbenahall_standins.replay import Load, Replay

OBJECTIVE_S = 0.15
#: Engines that prefill and that decode, and what arrives at each of the first.
ENGINES = (12, 6)
RATE = 60
SECONDS = 2


@functools.cache
def play(instances, rate=RATE, *, scheduled):
    """Return the share on time; many instances hear a fifth of the others."""
    many = instances > 20
    replay = Replay(
        instances,
        *ENGINES,
        sample=5 if many else 1,
        word_s=0.6 if many else 0.1,
        scheduled=scheduled,
    )
    load = Load(rate * ENGINES[0], SECONDS, things=15 * ENGINES[0])
    outcome = replay.play([load])
    total = len(outcome.waits) + len(outcome.refused)
    return outcome.on_time(OBJECTIVE_S) / total


@pytest.mark.parametrize('instances', [24, 200])
def test_many_instances_with_a_scheduler_serve_as_few_do(instances):
    """The same engines get the same load through six or two hundred instances.

    Each of two hundred has a request or two a second of its own, and hears of
    a fifth of the others' sends, half a second late. Deciding by that, they
    send one engine the prompts of many and leave others idle: callers see
    late answers while three quarters of the engines' time is unused.
    """
    few = play(6, scheduled=False)
    assert play(instances, scheduled=True) > 0.9 * few
    assert play(instances, scheduled=False) < 0.9 * few


@pytest.mark.parametrize('instances', [24, 200])
def test_scheduler_is_worth_most_when_load_is_highest(instances):
    """More arrives than the engines prefill in time.

    With one queue those that can still be on time go first; without, nearly
    all end late.
    """
    many = play(instances, 2 * RATE, scheduled=True)
    assert many > 2 * play(instances, 2 * RATE, scheduled=False)
