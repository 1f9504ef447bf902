"""The decisions under overload at a queue and its engines."""

import random

from verbenahall.fleet import Role
from verbenahall.overload import EngineDelays, Turn, report_overload
from verbenahall.placement import (
    Fleet,
    Part,
    PlacementRequest,
    PlacementState,
    PrefillQueue,
    QueuedRequest,
    RequestSource,
    Totals,
    Work,
    dispatch,
    enqueue,
)
from verbenahall_standins.replay import TRAITS, make_entry

RNG = random.Random(3)


def make_queued(name, now=0, *, leaves=2, **changes):
    work = Work((Part(name, 6_000), Part(f'{name}-own', 3_000)), 9_000, 2)
    return QueuedRequest(
        request_id=name,
        placement_request=PlacementRequest(work, 0.2),
        priority=0,
        queued_at=now,
        due_at=now + 0.5,
        objective_s=0.5,
        leaves_at=now + leaves,
        source=RequestSource(fingerprint=name),
        **changes,
    )


def make_busy_fleet(busy=('fast', 'slow', 'writer')):
    engines = [
        make_entry('fast', Role.PREFILL),
        make_entry('slow', Role.PREFILL),
        make_entry('writer', Role.DECODE),
    ]
    state = PlacementState()
    for name in busy:
        state.load_table.open(name, Totals(prefill_tokens=20_000))
    return Fleet(state, engines, TRAITS)


def delay_engines(queue):
    """Record first events that are nine seconds late at each engine."""
    for name in ('fast', 'slow', 'writer') * 20:
        queue.overload.delays.observe(name, 9, 0)


def enqueue_planned(queue, fleet, names, now=0):
    """Queue requests, and return them by the engine that they are planned at.

    A queue that already has a request is one that considers delays.
    """
    planned = {}
    for name in names:
        pending = make_queued(name, now)
        assert not enqueue(queue, pending, fleet, now, RNG).refused
        planned.setdefault(pending.planned_engine, []).append(pending)
    return planned


def test_late_first_events_of_a_slow_engine_refuse_no_caller_elsewhere():
    # One engine is 2.5 times slower for 0.6 s. By one bound for all engines,
    # callers were refused whose requests were planned at a fast one: "7
    # requests wait for prefill, about 0.1 s".
    queue = PrefillQueue()
    fleet = make_busy_fleet(busy=('fast', 'slow'))
    fleet.state.load_table.open('writer', Totals(streams=30))
    names = [f'p{number}' for number in range(12)]
    planned = enqueue_planned(queue, fleet, names)
    assert planned['fast']
    assert planned['slow']
    sample = planned['slow'][0]
    for step in range(20):
        queue.record_first_event(sample, 3 + step / 10, 0)
    refused = {one for one, _ in dispatch(queue, fleet, 0.01, RNG).refused}
    assert refused == set(planned['slow'])
    assert not any(one.is_late(0.01) for one in planned['fast'])


def test_empty_queue_refuses_nobody_because_of_earlier_delays():
    # Refused requests would not show that the engine has recovered.
    queue = PrefillQueue()
    fleet = make_busy_fleet()
    delay_engines(queue)
    assert not enqueue(queue, make_queued('a'), fleet, 0.1, RNG).refused
    assert enqueue(queue, make_queued('b'), fleet, 0.1, RNG).refused


def test_refused_caller_that_returns_as_told_is_served_first():
    # It has waited as told; behind all new requests it would be refused again.
    # After a restart the queue knows no return times, and it counts as new.
    queue = PrefillQueue()
    fleet = make_busy_fleet()
    enqueue(queue, make_queued('other'), fleet, 0, RNG)
    delay_engines(queue)
    refused = enqueue(queue, make_queued('back'), fleet, 0, RNG).refused
    queue.overload.delays = EngineDelays()
    now = refused[0][1].retry_after_s
    waiting = [make_queued('new', now), make_queued('back', now)]
    for pending in waiting:
        enqueue(queue, pending, fleet, now, RNG)
    assert [one.turn for one in waiting] == [Turn.ORDINARY, Turn.RETURNED]
    free = make_busy_fleet(busy=())
    admitted = dispatch(queue, free, now, RNG).admitted
    assert admitted[0].pending.request_id == 'back'
    restarted = PrefillQueue()
    again = make_queued('back', now)
    enqueue(restarted, again, fleet, now, RNG)
    assert again.turn is Turn.ORDINARY


def test_report_is_written_once_a_second_and_only_under_overload(monkeypatch):
    # A line for each run of a queue would flood the log; one without overload
    # would hide those that matter.
    lines = []
    monkeypatch.setattr(
        'verbenahall.journal.write_decision',
        lambda event, **fields: lines.append(fields),
    )
    queue = PrefillQueue()
    fleet = make_busy_fleet()
    report_overload(queue.overload, 'reader', queue.waiting, 0)
    assert not lines
    for step in range(30):
        hurried = make_queued(f'{step}', step / 10, leaves=0.01)
        enqueue(queue, hurried, fleet, step / 10, RNG)
        report_overload(queue.overload, 'reader', queue.waiting, step / 10)
    assert [line['counts'] for line in lines] == [
        {'refused': 11},
        {'refused': 10},
    ]
