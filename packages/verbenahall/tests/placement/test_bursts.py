"""Bursts of prompts beyond what engines read, replayed without sockets."""

import functools

from verbenahall_standins.replay import Load, Replay

OBJECTIVE_S = 0.15
#: Four engines that read and two that help them end some 380 of these a second.
HIGH_LOAD = Load(rate=300, seconds=3)
OVERLOAD = Load(rate=600, seconds=3)


@functools.cache
def replay_overload():
    """Play twice what the engines read, once for all that look at it."""
    replay = Replay()
    replay.play([OVERLOAD])
    return replay


def test_queued_prompts_are_on_time_more_often_than_unqueued():
    # Callers ask for twice what the engines read. Sent at once, all prompts
    # share the engines and end together, long after their objective: callers
    # see nothing but late answers, though half of them could be in time.
    unqueued = Replay().play([OVERLOAD], queued=False)
    queued_outcome = replay_overload().outcome
    assert (
        unqueued.on_time(OBJECTIVE_S) < 0.3 * OVERLOAD.rate * OVERLOAD.seconds
    )
    assert (
        queued_outcome.on_time(OBJECTIVE_S)
        > 0.33 * OVERLOAD.rate * OVERLOAD.seconds
    )


def test_no_request_is_refused_below_capacity():
    # A queue that turns callers away while engines have time to spare would
    # be worse than none: callers are refused for nothing.
    outcome = Replay().play([Load(rate=220, seconds=3)])
    assert not outcome.refused
    assert outcome.on_time(OBJECTIVE_S) > 0.85 * len(outcome.waits)


def test_few_prefills_are_open_at_an_engine():
    # Instances hear of each other's reads a tenth of a second later. All that
    # saw an engine idle sent it what waited, 18 prompts at once, and the
    # first of them ended when the last one did.
    replay = Replay()
    open_counts = []
    original_watch = replay.watch

    def watch(engine):
        open_counts.append(len(engine.open))
        original_watch(engine)

    replay.watch = watch
    replay.play([HIGH_LOAD])
    assert max(open_counts) <= 2 * len(replay.instances)


def test_retry_after_leaves_time_for_the_retry():
    # Callers that are refused at their deadline, or told to come back after
    # it, have lost their request without a word.
    outcome = replay_overload().outcome
    assert outcome.refused
    for problem, left_s in outcome.refused:
        told_s = problem.retry_after_s
        assert 0.1 < told_s <= max(0.25, 0.5 * left_s)
        assert problem.answer.ran.value == 'no'


def test_retry_after_is_spread():
    # Callers that are all told the same time come back as one more burst.
    outcome = replay_overload().outcome
    retry_times = {round(one.retry_after_s, 3) for one, _ in outcome.refused}
    assert len(retry_times) > len(outcome.refused) / 5


def test_most_refusals_come_early():
    # A caller that waits for most of its time and is refused then has no time
    # left to try again.
    outcome = replay_overload().outcome
    held = sorted(outcome.held)
    assert held[len(held) // 2] < 0.5


def test_urgent_requests_go_before_less_urgent_ones():
    # A burst of ordinary requests fills the queue; urgent ones that come
    # behind them must not wait for it to drain.
    urgent = Load(rate=40, seconds=3, priority=0)
    ordinary = Load(rate=560, seconds=3, priority=1)
    outcome = Replay().play([urgent, ordinary])
    served = [priority for priority, _ in outcome.order]
    assert served.count(0) > 0.95 * urgent.rate * urgent.seconds


def test_overload_keeps_prompts_on_preferred_engines():
    # Under a burst each home of a shared part is busy. Prompts that move to
    # engines without the part are read whole, twice the work or more, just
    # when there is no time for it, and all wait for longer.
    engines = replay_overload().engines.values()
    read = sum(engine.read for engine in engines)
    whole = sum(engine.whole for engine in engines)
    assert read < 0.5 * whole
