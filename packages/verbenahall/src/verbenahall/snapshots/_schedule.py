"""Schedules snapshots without coordination between instances.

Every instance may write a snapshot. When one is due, each instance waits a
random time, and writes none if it sees the mark of another in the meantime.
So there are few copies, and copies are harmless.
"""

import dataclasses
import math
import random
from typing import Final

from verbenahall.snapshots._messages import Mark

_REFRESH_S: Final = 300.0
_SPREAD_S: Final = 20.0
_MAX_TAIL_RECORDS: Final = 20_000
#: Longest random wait for an urgent snapshot, in seconds.
_URGENT_SPREAD_S: Final = 0.5
#: Shares of the records that the log keeps. If at most this share has offsets
#: up to that of the newest snapshot, the next snapshot is due, or urgent.
_DUE_SHARE: Final = 0.5
_URGENT_SHARE: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """When a snapshot is due.

    It is due ``refresh_s`` seconds after the newest mark, or when more than
    ``max_tail_records`` offsets follow the newest snapshot. ``refresh_s`` must
    be well below the time for which the log keeps a record. ``spread_s`` is
    the longest random wait.
    """

    refresh_s: float = _REFRESH_S
    spread_s: float = _SPREAD_S
    max_tail_records: int = _MAX_TAIL_RECORDS


class ScheduleState:
    """The newest mark, the log's offsets and the planned time of a snapshot."""

    __slots__ = ('first', 'head', 'mark', 'planned_at', 'seen_at')

    def __init__(self, now: float) -> None:
        """Create a state without a mark."""
        self.mark: Mark | None = None
        self.seen_at = now
        self.first = 1
        self.head = 0
        self.planned_at = math.inf


def observe_log(state: ScheduleState, first: int, head: int) -> None:
    """Record the lowest kept and the highest offset of the log."""
    state.first = first
    state.head = max(state.head, head)


def observe_mark(state: ScheduleState, mark: Mark, now: float) -> None:
    """Record the mark of any instance and cancel the planned snapshot."""
    if state.mark is not None and mark.upto < state.mark.upto:
        return
    state.mark = mark
    state.seen_at = now
    state.planned_at = math.inf


def reschedule(state: ScheduleState) -> None:
    """Cancel the planned time after a failed write, so that it is drawn anew.

    During an outage of the log a snapshot becomes due for all instances.
    With planned times in the past, all would write at once at its end.
    """
    state.planned_at = math.inf


def is_due(
    state: ScheduleState,
    schedule: Schedule,
    now: float,
    rng: random.Random,
) -> bool:
    """Whether this instance should write a snapshot now.

    The first call after one is due draws the planned time, and later calls
    wait for it.
    """
    spread_s = _compute_spread(state, schedule, now)
    if spread_s is None:
        state.planned_at = math.inf
        return False
    drawn = now + rng.uniform(0, spread_s)
    if math.isinf(state.planned_at) or spread_s < schedule.spread_s:
        state.planned_at = min(state.planned_at, drawn)
    return now >= state.planned_at


def _compute_spread(
    state: ScheduleState,
    schedule: Schedule,
    now: float,
) -> float | None:
    """Return the longest random wait, or ``None`` if no snapshot is due.

    The log does not report how long it keeps a record. When its first offset
    passes the offset of the newest snapshot, records between the two are lost
    and a new instance cannot start. So a snapshot is due when the first offset
    comes close to it, and the closer it comes, the shorter the wait. The first
    offset of a quiet log does not move while the snapshot's own records get
    old; therefore snapshots are also due after a time.
    """
    if state.head == 0:
        return None
    upto = state.mark.upto if state.mark else 0
    kept = state.head - state.first + 1
    covered = upto - state.first + 1
    expiring = state.first > 1
    if expiring and covered <= _URGENT_SHARE * kept:
        return min(_URGENT_SPREAD_S, schedule.spread_s)
    overdue = now - state.seen_at >= schedule.refresh_s
    tail = state.head - upto
    nearing = expiring and covered <= _DUE_SHARE * kept
    if overdue or nearing or tail > schedule.max_tail_records:
        return schedule.spread_s
    return None
