"""Which requests are on time when not all can be."""

import random

import pytest
from verbenahall.overload import EngineShare, Stage, Turn, rank_candidates
from verbenahall.placement import (
    PlacementRequest,
    QueuedRequest,
    RequestSource,
    Work,
)

ONE_ENGINE = EngineShare(frozenset(('fast',)))


def make_waiting(name, prefill_s, due, **changes):
    """Return a request that is on time if it starts by ``due - prefill_s``."""
    return QueuedRequest(
        request_id=name,
        placement_request=PlacementRequest(Work(), 0.2),
        queued_at=0,
        due_at=due,
        objective_s=0.5,
        leaves_at=due + 10,
        expected_first_s=prefill_s,
        prefill_s=prefill_s,
        **{'planned_engine': 'fast', 'priority': 0, **changes},
    )


def rank(waiting, engines=ONE_ENGINE, delays=(), starved=()):
    ranked = rank_candidates(
        waiting, engines, dict(delays), frozenset(starved), 0
    )
    return ' '.join(one.request_id for one in ranked)


def count_on_time(waiting):
    """Serve requests one after the other in their order."""
    ended = 0
    on_time = 0
    for pending in waiting:
        ended += pending.prefill_s
        on_time += ended <= pending.due_at
    return on_time


def count_largest_subset(waiting):
    """Return how many requests one engine can serve on time at most."""
    best = [0.0]
    for pending in sorted(waiting, key=lambda one: one.due_at):
        ends = [end + pending.prefill_s for end in best]
        grown = [*best, float('inf')]
        for count, end in enumerate(ends):
            if end <= pending.due_at:
                grown[count + 1] = min(grown[count + 1], end)
        best = [one for one in grown if one < float('inf')]
    return len(best) - 1


def test_order_is_by_due_time_while_all_fit():
    # Without overload callers must be served as before.
    waiting = [
        make_waiting('c', 0.1, 0.9),
        make_waiting('a', 0.3, 0.41),
        make_waiting('b', 0.2, 0.65),
        make_waiting('back', 0.1, 1.2, returning=True),
    ]
    assert rank(waiting) == 'back a b c'


def test_one_long_prompt_is_late_instead_of_three_short_ones():
    # By due time alone the long prompt goes first, and all others are late.
    waiting = [
        make_waiting('long', 0.6, 0.65),
        make_waiting('s1', 0.2, 0.7),
        make_waiting('s2', 0.2, 0.7),
        make_waiting('s3', 0.2, 0.7),
    ]
    assert rank(waiting) == 's1 s2 s3 long'
    assert waiting[0].is_left_out


@pytest.mark.parametrize('seed', range(20))
def test_no_selection_serves_more_on_time(seed):
    # A rule that leaves out the wrong requests loses answers that were due.
    rng = random.Random(seed)
    waiting = [
        make_waiting(f'{n}', rng.uniform(0.02, 0.4), rng.uniform(0.4, 2))
        for n in range(30)
    ]
    ranked = rank_candidates(waiting, ONE_ENGINE, {}, frozenset(), 0)
    assert count_on_time(ranked) == count_largest_subset(waiting)


def test_left_out_request_is_on_time_once_there_is_room():
    # The others were served elsewhere; the request must not stay behind.
    long = make_waiting('long', 0.6, 0.65)
    rank([long, make_waiting('s1', 0.2, 0.7), make_waiting('s2', 0.2, 0.7)])
    assert long.is_left_out
    rank([long])
    assert not long.is_left_out


def test_priority_is_strict():
    # A late urgent request goes before those of lower priority on time, and
    # these count with its engine time.
    waiting = [
        make_waiting('urgent', 0.5, 0.1),
        make_waiting('beyond', 0.1, 9, beyond_share=True),
        make_waiting('short', 0.1, 0.3, priority=1),
        make_waiting('patient', 0.1, 0.9, priority=1),
    ]
    assert rank(waiting) == 'urgent beyond patient short'


def test_callers_that_return_are_served_by_their_turn():
    # A caller that retries at once must not get ahead of those that wait.
    waiting = [
        make_waiting('early', 0.1, 0.3, turn=Turn.EARLY),
        make_waiting('new', 0.1, 0.3),
        make_waiting('late', 0.1, 0.05),
        make_waiting('returned', 0.1, 0.05, turn=Turn.RETURNED),
        make_waiting('lower', 0.1, 0.3, priority=1),
    ]
    assert rank(waiting) == 'returned new late early lower'


def test_delays_of_a_slow_engine_leave_others_on_time():
    # A few late first events on a slow engine made all requests look late.
    fast = make_waiting('fast', 0.1, 0.3)
    slow = make_waiting('slow', 0.1, 0.2, planned_engine='slow')
    rank([fast, slow], delays={'slow': 2})
    assert fast.rank[2] is Stage.ON_TIME
    assert slow.is_left_out


def test_engine_time_is_divided_by_usable_engines():
    # Counted as if one engine served all, requests would be left out while
    # engines are idle.
    engines = EngineShare(frozenset(('a', 'b', 'c', 'd')))
    waiting = [make_waiting(f'{n}', 0.2, 0.4) for n in range(4)]
    rank(waiting, engines)
    assert not any(one.is_left_out for one in waiting)
    tried = frozenset(('b', 'c', 'd'))
    waiting = [make_waiting(f'{n}', 0.2, 0.4, tried=tried) for n in range(4)]
    rank(waiting, engines)
    assert sum(one.is_left_out for one in waiting) == 2


def test_starved_group_is_left_out_last():
    # Long prompts of one route would otherwise be left out each time.
    long = make_waiting(
        'long', 0.6, 0.7, source=RequestSource(route='summaries')
    )
    short = [make_waiting(f's{n}', 0.3, 0.7) for n in range(2)]
    rank([long, *short])
    assert long.is_left_out
    rank([long, *short], starved=[('route', 'summaries')])
    assert not long.is_left_out
    assert all(one.is_left_out for one in short)
