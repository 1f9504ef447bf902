"""Requests that wait to be read, their order, and how fast they drain."""

import dataclasses
from collections.abc import Sequence
from typing import Final, final

from verbenahall.admission import RateMeter
from verbenahall.errors import Problem
from verbenahall.placement._decisions import Wish
from verbenahall.placement._ledger import Flight
from verbenahall.placement._messages import Plan

#: Weight of one first event in what is expected of the next ones.
_LEARNING: Final = 0.1
#: What was learned of first events halves in this time without any, in
#: seconds: the patience of callers, so that none is refused twice by it.
_HALF_LIFE_S: Final = 2.0
_NONE_TRIED: Final[frozenset[str]] = frozenset()

_Rank = tuple[int, bool, bool, float]


@final
@dataclasses.dataclass(slots=True, eq=False)
class Turn:
    """A request that waits to be read; times are monotonic seconds.

    It waits ``since`` then; ``due_at`` is when its first event would be late,
    ``objective_s`` after its caller's first attempt, and ``leaves_at`` when
    its caller leaves. ``returning`` callers were turned
    away before, and the engines named in ``tried`` have failed this request.
    ``lead_s`` is the expected time to its first event on idle engines, and
    ``home`` the engine that is thought to keep its shared parts.
    """

    request: str
    wish: Wish
    priority: int
    since: float
    due_at: float
    objective_s: float
    leaves_at: float
    returning: bool = False
    tried: frozenset[str] = _NONE_TRIED
    lead_s: float = 0
    home: str = ''

    def is_late(self, now: float) -> bool:
        """Whether its first event cannot be on time any more."""
        return now + self.lead_s > self.due_at

    def is_hopeless(self, now: float) -> bool:
        """Whether the caller will have left before the first event."""
        return now + self.lead_s > self.leaves_at

    def rank(self, now: float) -> _Rank:
        """Return the place in the order; the lowest is next."""
        late = self.is_late(now)
        return (self.priority, late, not self.returning, self.due_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request whose turn it is, its plan, and its work in the ledger."""

    turn: Turn
    plan: Plan
    flight: Flight


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEffects:
    """Who has the turn, and who is turned away."""

    admitted: Sequence[Admitted] = ()
    refused: Sequence[tuple[Turn, Problem]] = ()


@final
class Excess:
    """A time that most of the last ones did not exceed, in seconds.

    As TCP does for its timeouts: a smoothed mean, and a mean deviation on top.
    It fades while nothing is noted. An engine that was slow for a while would
    else leave a bound by which every request is refused as hopeless, and no
    request would ever show that the engine is well again.
    """

    __slots__ = ('_mean_s', '_deviation_s', '_noted_at')

    def __init__(self) -> None:
        """Start from nothing."""
        self._mean_s: float = 0
        self._deviation_s: float = 0
        self._noted_at: float = 0

    def note(self, seconds: float, now: float) -> None:
        """Learn from one."""
        error_s = seconds - self._mean_s
        self._mean_s += _LEARNING * error_s
        self._deviation_s += _LEARNING * (abs(error_s) - self._deviation_s)
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the bound."""
        fade = 0.5 ** (max(0, now - self._noted_at) / _HALF_LIFE_S)
        return (self._mean_s + self._deviation_s) * fade


@final
class TurnQueue:
    """The waiting requests of a service, and how fast they drain.

    ``drained`` counts the turns given, ``late`` those of requests that were
    late already: what those on time leave. ``excess`` is how much longer than
    expected first events take once they have their turn.
    """

    __slots__ = ('waiting', 'drained', 'late', 'excess')

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[Turn] = []
        self.drained = RateMeter()
        self.late = RateMeter()
        self.excess = Excess()

    def find_start(self, now: float) -> float:
        """Return when an engine would begin with a request that goes now.

        Without what the last ones have met there, requests had their turn
        when they were just on time, and all of them ended just late.
        """
        return now + self.excess.read(now)

    def note_first(self, turn: Turn, took_s: float, now: float) -> None:
        """Learn from the first event of a request that has had its turn."""
        self.excess.note(max(0, took_s - turn.lead_s), now)

    def remove(self, turn: Turn) -> None:
        """Take a request out, if it still waits."""
        if turn in self.waiting:
            self.waiting.remove(turn)

    def meter(self, now: float, given: Sequence[Admitted]) -> None:
        """Count the turns given; an empty queue drains as slow as it fills."""
        for meter in (self.drained, self.late):
            if self.waiting:
                meter.resume(now)
            else:
                meter.pause()
        for admitted in given:
            self.drained.count(now)
            if admitted.turn.is_late(now):
                self.late.count(now)
