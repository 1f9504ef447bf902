"""Requests that wait to be prefilled, their order, and how they drain."""

import dataclasses
from collections.abc import Sequence
from typing import Final, final

from verbenahall.admission import RateMeter
from verbenahall.errors import Problem
from verbenahall.placement._decisions import PlacementRequest
from verbenahall.placement._ledger import InFlight
from verbenahall.placement._messages import Plan

#: Weight of one first event in what is expected of the next ones.
_SMOOTHING: Final = 0.1
#: What was learned of first events halves in this time without any, in
#: seconds: the patience of callers, so that none is refused twice by it.
_HALF_LIFE_S: Final = 2.0
_NO_ENGINES: Final[frozenset[str]] = frozenset()

_Rank = tuple[int, bool, bool, float]


@final
@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits to be prefilled; times are monotonic seconds.

    It waits ``since`` then; ``due_at`` is when its first event would be late,
    ``objective_s`` after its caller's first attempt, and ``leaves_at`` when
    its caller leaves. ``returning`` callers were refused before, and the
    engines named in ``tried`` have failed this request. ``lead_s`` is the
    expected time to its first event on idle engines, and ``preferred_engine`` the engine
    that is thought to keep its shared parts.
    """

    request: str
    wanted: PlacementRequest
    priority: int
    since: float
    due_at: float
    objective_s: float
    leaves_at: float
    returning: bool = False
    tried: frozenset[str] = _NO_ENGINES
    lead_s: float = 0
    preferred_engine: str = ''

    def is_late(self, now: float) -> bool:
        """Whether its first event cannot be on time any more."""
        return now + self.lead_s > self.due_at

    def will_expire(self, now: float) -> bool:
        """Whether the caller will have left before the first event."""
        return now + self.lead_s > self.leaves_at

    def rank(self, now: float) -> _Rank:
        """Return the place in the order; the lowest is next."""
        late = self.is_late(now)
        return (self.priority, late, not self.returning, self.due_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be sent, its plan, and its work in the ledger."""

    pending: QueuedRequest
    plan: Plan
    flight: InFlight


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEffects:
    """Who is admitted, and who is refused."""

    admitted: Sequence[Admitted] = ()
    refused: Sequence[tuple[QueuedRequest, Problem]] = ()


@final
class DelayEstimator:
    """A time that most of the last ones did not exceed, in seconds.

    As TCP does for its timeouts: a smoothed mean, and a mean deviation on top.
    It fades while nothing is noted. An engine that was slow for a while would
    else leave a bound by which every request is refused as hopeless, and no
    request would ever show that the engine is well again.
    """

    __slots__ = ('_mean_s', '_deviation_s', '_observed_at')

    def __init__(self) -> None:
        """Start from nothing."""
        self._mean_s: float = 0
        self._deviation_s: float = 0
        self._observed_at: float = 0

    def note(self, seconds: float, now: float) -> None:
        """Learn from one."""
        error_s = seconds - self._mean_s
        self._mean_s += _SMOOTHING * error_s
        self._deviation_s += _SMOOTHING * (abs(error_s) - self._deviation_s)
        self._observed_at = now

    def read(self, now: float) -> float:
        """Return the bound."""
        decay = 0.5 ** (max(0, now - self._observed_at) / _HALF_LIFE_S)
        return (self._mean_s + self._deviation_s) * decay


@final
class PrefillQueue:
    """The waiting requests of a service, and how fast they drain.

    ``drain_rate`` counts the admitted, ``late`` those of them that were late
    already: what those on time leave. ``first_event_delay`` is how much longer than
    expected first events take once they are admitted.
    """

    __slots__ = (
        'waiting',
        'drain_rate',
        'late_drain_rate',
        'first_event_delay',
    )

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[QueuedRequest] = []
        self.drain_rate = RateMeter()
        self.late_drain_rate = RateMeter()
        self.first_event_delay = DelayEstimator()

    def predict_start(self, now: float) -> float:
        """Return when an engine would begin with a request that goes now.

        Without what the last ones have met there, requests are admitted when
        they are just on time, and all of them end just late.
        """
        return now + self.first_event_delay.read(now)

    def note_first(
        self, pending: QueuedRequest, took_s: float, now: float
    ) -> None:
        """Learn from the first event of a request that was admitted."""
        self.first_event_delay.note(max(0, took_s - pending.lead_s), now)

    def remove(self, pending: QueuedRequest) -> None:
        """Take a request out, if it still waits."""
        if pending in self.waiting:
            self.waiting.remove(pending)

    def update_rates(self, now: float, admissions: Sequence[Admitted]) -> None:
        """Count the admitted; an empty queue drains as slow as it fills."""
        for meter in (self.drain_rate, self.late_drain_rate):
            if self.waiting:
                meter.resume(now)
            else:
                meter.pause()
        for admitted in admissions:
            self.drain_rate.count(now)
            if admitted.pending.is_late(now):
                self.late_drain_rate.count(now)
