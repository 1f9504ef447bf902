"""The queue of requests for prefill: their order and its drain rate."""

import dataclasses
from collections.abc import Sequence
from typing import Final, final

from verbenahall.admission import RateMeter
from verbenahall.errors import Problem
from verbenahall.placement._decisions import PlacementRequest
from verbenahall.placement._load_table import InFlight
from verbenahall.placement._messages import (
    UNKNOWN_SOURCE,
    Plan,
    RequestSource,
)

#: Weight of one first event in the smoothed delay.
_SMOOTHING: Final = 0.1
#: Half-life of the delay estimate without new first events, in seconds. It
#: equals the time that callers wait, so that no caller is refused twice
#: because of the same delays.
_HALF_LIFE_S: Final = 2.0
_NO_ENGINES: Final[frozenset[str]] = frozenset()

_Rank = tuple[int, bool, bool, bool, float]


@final
@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for prefill; times are monotonic seconds.

    ``request_id`` is the caller's request id or, at a scheduler, the key of the
    ``ScheduleRequest``. ``queued_at`` is when it was queued, ``due_at`` when
    its first event is past its objective, which is ``objective_s`` after the
    first attempt of its caller, and ``leaves_at`` when its caller leaves.
    ``returning`` is true if the caller was refused before. ``tried`` names the
    engines that have failed this request, ``unavailable`` those that accept
    none of its instance. ``expected_first_s`` is the expected
    time to its first event if its prefill begins at once, ``slot_wait_s`` the
    part of it until a decode engine has a free slot, and ``preferred_engine``
    the engine most likely to have its shared parts cached. ``source`` is where
    it comes from, and ``beyond_share`` whether its workspace has used more than
    its share of the engines.
    """

    request_id: str
    placement_request: PlacementRequest
    priority: int
    queued_at: float
    due_at: float
    objective_s: float
    leaves_at: float
    returning: bool = False
    tried: frozenset[str] = _NO_ENGINES
    unavailable: frozenset[str] = _NO_ENGINES
    expected_first_s: float = 0
    slot_wait_s: float = 0
    preferred_engine: str = ''
    source: RequestSource = UNKNOWN_SOURCE
    beyond_share: bool = False

    def update_estimates(self, plan: Plan) -> None:
        """Update the expected times by a plan."""
        self.expected_first_s = plan.wait_s - plan.ahead_s
        self.slot_wait_s = plan.slot_wait_s

    def is_late(self, now: float) -> bool:
        """Whether the first event can no longer be on time."""
        return now + self.expected_first_s > self.due_at

    def will_expire(self, now: float) -> bool:
        """Whether the caller leaves before the first event."""
        return now + self.expected_first_s > self.leaves_at

    def rank(self, now: float) -> _Rank:
        """Return the sort key of the queue; the lowest is next."""
        late = self.is_late(now)
        return (
            self.priority,
            self.beyond_share,
            late,
            not self.returning,
            self.due_at,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be sent, its plan and its open work."""

    pending: QueuedRequest
    plan: Plan
    flight: InFlight


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEffects:
    """The requests that are admitted, and those that are refused."""

    admitted: Sequence[Admitted] = ()
    refused: Sequence[tuple[QueuedRequest, Problem]] = ()


@final
class DelayEstimator:
    """A bound in seconds that few of the recent delays exceeded.

    It is the smoothed mean plus the smoothed mean deviation, as in the
    retransmission timer of TCP. It decays while no delay is recorded. Without
    the decay, a bound from a time when engines were slow could cause every
    request to be refused, and no request would show that the engines have
    recovered.
    """

    __slots__ = ('_mean_s', '_deviation_s', '_observed_at')

    def __init__(self) -> None:
        """Start with a bound of zero."""
        self._mean_s: float = 0
        self._deviation_s: float = 0
        self._observed_at: float = 0

    def observe(self, seconds: float, now: float) -> None:
        """Record one delay."""
        error_s = seconds - self._mean_s
        self._mean_s += _SMOOTHING * error_s
        self._deviation_s += _SMOOTHING * (abs(error_s) - self._deviation_s)
        self._observed_at = now

    def estimate(self, now: float) -> float:
        """Return the bound in seconds."""
        decay = 0.5 ** (max(0, now - self._observed_at) / _HALF_LIFE_S)
        return (self._mean_s + self._deviation_s) * decay


@final
class PrefillQueue:
    """The queued requests of a service, and how fast they are admitted.

    ``drain_rate`` measures all admissions a second, ``late_drain_rate`` those
    of requests that are already past their objective. ``first_event_delay``
    bounds how much longer than expected the first event of an admitted request
    takes.
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
        """Return when an engine would start on a request that is sent now.

        It includes the delay that recent requests had. Without it, requests
        would be admitted at the last moment at which they could be on time,
        and all would be slightly late.
        """
        return now + self.first_event_delay.estimate(now)

    def record_first_event(
        self, pending: QueuedRequest, took_s: float, now: float
    ) -> None:
        """Record the time to the first event of an admitted request."""
        self.first_event_delay.observe(
            max(0, took_s - pending.expected_first_s), now
        )

    def remove(self, pending: QueuedRequest) -> None:
        """Remove a request if it is still queued."""
        if pending in self.waiting:
            self.waiting.remove(pending)

    def update_rates(self, now: float, admissions: Sequence[Admitted]) -> None:
        """Count the admitted requests.

        The rates are measured only while requests wait, since an empty queue
        drains no faster than it fills.
        """
        for meter in (self.drain_rate, self.late_drain_rate):
            if self.waiting:
                meter.resume(now)
            else:
                meter.pause()
        for admitted in admissions:
            self.drain_rate.count(now)
            if admitted.pending.is_late(now):
                self.late_drain_rate.count(now)
