"""When the next snapshot is due, and for whom.

Every instance may write one. Each waits a random while after it is due, and
whoever sees another's mark in the meantime does not write; so there are few
copies without any agreement, and copies do no harm.
"""

import dataclasses
import math
import random
from typing import Final

from verbenahall.snapshots._messages import Mark

_REFRESH_S: Final = 300.0
_SPREAD_S: Final = 20.0
_MAX_TAIL_RECORDS: Final = 20_000
_URGENT_SPREAD_S: Final = 0.5
_HALF: Final = 0.5
_QUARTER: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """How old a snapshot may become, in seconds and in records after it.

    ``refresh_s`` must be well below the time for which the log keeps a
    record; ``spread_s`` is the longest random wait.
    """

    refresh_s: float = _REFRESH_S
    spread_s: float = _SPREAD_S
    max_tail_records: int = _MAX_TAIL_RECORDS


class ScheduleState:
    """The newest mark and this instance's own planned moment."""

    __slots__ = ('first', 'head', 'mark', 'planned_at', 'seen_at')

    def __init__(self, now: float) -> None:
        """Start without a mark."""
        self.mark: Mark | None = None
        self.seen_at = now
        self.first = 1
        self.head = 0
        self.planned_at = math.inf


def observe_log(state: ScheduleState, first: int, head: int) -> None:
    """Note the lowest kept and the highest offset of the log."""
    state.first = first
    state.head = max(state.head, head)


def observe_mark(state: ScheduleState, mark: Mark, now: float) -> None:
    """Note that somebody wrote a snapshot; ours can wait."""
    if state.mark is not None and mark.upto < state.mark.upto:
        return
    state.mark = mark
    state.seen_at = now
    state.planned_at = math.inf


def reschedule(state: ScheduleState) -> None:
    """Draw the moment again, after a write that failed.

    While the log is away a snapshot becomes due for every instance. With the
    moments long past, all would write at once when the log comes back.
    """
    state.planned_at = math.inf


def is_due(
    state: ScheduleState,
    schedule: Schedule,
    now: float,
    rng: random.Random,
) -> bool:
    """Whether this instance should write a snapshot now.

    The first call after one is due draws the moment, later calls wait for
    it.
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
    """Return the longest wait for a snapshot that is due, or ``None``.

    The log does not say how long it keeps a record. When its first offset
    has moved up to where the records after the newest snapshot begin, that
    snapshot no longer joins the log, and a new instance cannot start: the
    nearer, the shorter the wait. A log at rest shows no movement while the
    snapshot itself grows old; hence the refresh by time.
    """
    if state.head == 0:
        return None
    upto = state.mark.upto if state.mark else 0
    kept = state.head - state.first + 1
    joined = upto - state.first + 1
    moving = state.first > 1
    if moving and joined <= _QUARTER * kept:
        return min(_URGENT_SPREAD_S, schedule.spread_s)
    overdue = now - state.seen_at >= schedule.refresh_s
    tail = state.head - upto
    nearing = moving and joined <= _HALF * kept
    if overdue or nearing or tail > schedule.max_tail_records:
        return schedule.spread_s
    return None
