"""Simulated bursts of prompts beyond the capacity of the engines."""

import functools

from verbenahall_standins.replay import Load, Replay

OBJECTIVE_S = 0.15
#: Four prefill and two decode engines prefill about 380 of these a second.
HIGH_LOAD = Load(rate=300, seconds=3)
OVERLOAD = Load(rate=600, seconds=3)


@functools.cache
def replay_overload():
    """Replay the overload once for all tests that check its outcome."""
    replay = Replay()
    replay.run([OVERLOAD])
    return replay


def test_queued_prompts_are_on_time_more_often_than_unqueued():
    # Callers send twice what the engines can prefill. Sent at once, all
    # prompts share the engines and end together, long past their objective,
    # although half of them could have been on time.
    unqueued = Replay().run([OVERLOAD], queued=False)
    queued_outcome = replay_overload().outcome
    assert (
        unqueued.count_on_time(OBJECTIVE_S)
        < 0.3 * OVERLOAD.rate * OVERLOAD.seconds
    )
    assert (
        queued_outcome.count_on_time(OBJECTIVE_S)
        > 0.33 * OVERLOAD.rate * OVERLOAD.seconds
    )


def test_no_request_is_refused_below_capacity():
    # A queue that refuses callers while engines have capacity is worse than
    # none.
    outcome = Replay().run([Load(rate=220, seconds=3)])
    assert not outcome.refused
    assert outcome.count_on_time(OBJECTIVE_S) > 0.85 * len(outcome.waits)


def test_few_prefills_are_open_at_an_engine():
    # Instances receive each other's open prefills a tenth of a second late.
    # All that saw an engine idle sent it what they had queued, 18 prompts at
    # once, and the first of them ended when the last one did.
    replay = Replay()
    open_counts = []
    original_schedule = replay.schedule_next_end

    def schedule_next_end(engine):
        open_counts.append(len(engine.open_prefills))
        original_schedule(engine)

    replay.schedule_next_end = schedule_next_end
    replay.run([HIGH_LOAD])
    assert max(open_counts) <= 2 * len(replay.instances)


def test_retry_after_leaves_time_for_the_retry():
    # A caller that is refused at its deadline, or has to retry after it, has
    # lost its request.
    outcome = replay_overload().outcome
    assert outcome.refused
    for problem, left_s in outcome.refused:
        hint_s = problem.retry_after_s
        assert 0.1 < hint_s <= max(0.25, 0.5 * left_s)
        assert problem.answer.ran.value == 'no'


def test_retry_after_is_spread():
    # Callers with the same retry time come back as one more burst.
    outcome = replay_overload().outcome
    retry_times = {round(one.retry_after_s, 3) for one, _ in outcome.refused}
    assert len(retry_times) > len(outcome.refused) / 5


def test_most_refusals_come_early():
    # A caller that is refused after most of its time has passed cannot retry
    # elsewhere.
    outcome = replay_overload().outcome
    wait_times = sorted(outcome.rejected_after_s)
    assert wait_times[len(wait_times) // 2] < 0.5


def test_urgent_requests_go_before_less_urgent_ones():
    # A burst of ordinary requests fills the queue; urgent ones that arrive
    # later must not wait for it to drain.
    urgent = Load(rate=40, seconds=3, priority=0)
    ordinary = Load(rate=560, seconds=3, priority=1)
    outcome = Replay().run([urgent, ordinary])
    served = [priority for priority, _ in outcome.served_order]
    assert served.count(0) > 0.95 * urgent.rate * urgent.seconds


def test_overload_keeps_prompts_on_preferred_engines():
    # In a burst all preferred engines of a shared part are busy. Prompts that
    # move to engines without that part are prefilled whole, twice the work or
    # more, which makes all other requests wait longer.
    engines = replay_overload().engines.values()
    prefilled_tokens = sum(engine.prefilled_tokens for engine in engines)
    requested_tokens = sum(engine.requested_tokens for engine in engines)
    assert prefilled_tokens < 0.5 * requested_tokens
