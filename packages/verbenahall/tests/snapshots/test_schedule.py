"""Scheduling of snapshots by the log's offsets and by time."""

import random

import pytest

from verbenahall.snapshots import Schedule
from verbenahall.snapshots._messages import Mark
from verbenahall.snapshots._schedule import (
    ScheduleState,
    is_due,
    observe_log,
    observe_mark,
    reschedule,
)

SCHEDULE = Schedule(refresh_s=300, spread_s=20, max_tail_records=1000)


@pytest.mark.parametrize(
    ('first', 'head', 'upto', 'now', 'earliest', 'latest'),
    [
        # Nothing was ever appended.
        (1, 0, 0, 1000, None, None),
        # A fresh snapshot on a log that expires nothing.
        (1, 500, 400, 10, None, None),
        # The snapshot's own records get old on a quiet log.
        (1, 500, 500, 270, None, None),
        (1, 500, 500, 300, 300, 320),
        # Many records after the snapshot.
        (1, 2000, 900, 10, 10, 30),
        # The log's first offset approaches the snapshot.
        (201, 600, 450, 10, None, None),
        (201, 600, 350, 10, 10, 30),
        (201, 600, 250, 10, 10, 10.5),
        (201, 600, 100, 10, 10, 10.5),
    ],
)
def test_moment_of_the_next_snapshot(
    first,
    head,
    upto,
    now,
    earliest,
    latest,
):
    """Records expire, or the snapshot gets old on a quiet log.

    If the next snapshot is too late, new instances cannot start.
    """
    state = ScheduleState(0)
    observe_mark(state, Mark(upto + 2, upto, 1, '', upto + 1), 0)
    observe_log(state, first, head)
    rng = random.Random(now)
    due = [
        now + step / 10
        for step in range(250)
        if is_due(state, SCHEDULE, now + step / 10, rng)
    ]

    assert bool(due) == (earliest is not None)
    if due:
        assert earliest <= due[0] <= latest + 0.1


def test_mark_of_another_puts_the_own_snapshot_off():
    """Two instances see that one is due; the first mark cancels the other."""
    state = ScheduleState(0)
    observe_log(state, 1, 500)
    is_due(state, SCHEDULE, 301, random.Random(1))
    observe_mark(state, Mark(503, 500, 1, '', 501), 305)

    rng = random.Random(1)
    due = [
        moment for moment in range(305, 660) if check_due(state, moment, rng)
    ]
    assert 605 <= due[0] <= 626


def test_failed_writes_are_spread_again():
    """The log is down for long, and a snapshot becomes due for all instances.

    Without a new random wait all would write at the end of the outage.
    """
    moments = [draw_after_failure(random.Random(seed)) for seed in range(100)]

    assert min(moments) >= 1000
    assert max(moments) <= 1020
    assert sum(moment < 1002 for moment in moments) < 30


def draw_after_failure(rng):
    """Return the first due time after a write that failed at 1,000 s."""
    state = ScheduleState(0)
    observe_log(state, 1, 500)
    is_due(state, SCHEDULE, 301, rng)
    reschedule(state)
    steps = (1000 + step / 10 for step in range(250))
    return next(step for step in steps if check_due(state, step, rng))


def check_due(state, moment, rng):
    """Return whether a snapshot is due at a time."""
    return is_due(state, SCHEDULE, moment, rng)
