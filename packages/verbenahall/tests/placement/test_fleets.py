"""The same load per engine, through few and through many instances."""

import functools

import pytest
from verbenahall_standins.replay import Load, Replay

OBJECTIVE_S = 0.15
#: Prefill and decode engines, and requests a second for each prefill engine.
ENGINES = (12, 6)
RATE = 60
SECONDS = 2


@functools.cache
def replay_share_on_time(instances, rate=RATE, *, scheduled):
    """Return the share of requests on time.

    Many instances receive the reports of a fifth of the others.
    """
    many = instances > 20
    replay = Replay(
        instances,
        *ENGINES,
        sample=5 if many else 1,
        heartbeat_interval_s=0.6 if many else 0.1,
        scheduled=scheduled,
    )
    load = Load(rate * ENGINES[0], SECONDS, prefix_count=15 * ENGINES[0])
    outcome = replay.run([load])
    total = len(outcome.waits) + len(outcome.refused)
    return outcome.count_on_time(OBJECTIVE_S) / total


@pytest.mark.parametrize('instances', [24, 200])
def test_many_instances_with_a_scheduler_serve_as_few_do(instances):
    """The same engines get the same load through six or 200 instances.

    Each of 200 instances has a request or two a second, and receives the load
    reports of a fifth of the others, half a second late. If each decides
    alone, one engine gets the prompts of many instances and others stay idle:
    answers are late while three quarters of the engine time is unused.
    """
    few = replay_share_on_time(6, scheduled=False)
    assert replay_share_on_time(instances, scheduled=True) > 0.9 * few
    assert replay_share_on_time(instances, scheduled=False) < 0.9 * few


@pytest.mark.parametrize('instances', [24, 200])
def test_scheduler_is_worth_most_when_load_is_highest(instances):
    """More prompts arrive than the engines can prefill in time.

    With one queue, requests that can still be on time go first; without it,
    nearly all of them end late.
    """
    many = replay_share_on_time(instances, 2 * RATE, scheduled=True)
    assert many > 2 * replay_share_on_time(instances, 2 * RATE, scheduled=False)
