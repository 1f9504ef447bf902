"""The queue of requests for prefill: their order and its drain rate."""

import dataclasses
import operator
from collections.abc import Sequence
from typing import Final, final

from verbenahall.admission import RateMeter
from verbenahall.errors import Problem
from verbenahall.overload import (
    EngineShare,
    OverloadState,
    Rank,
    Stage,
    Turn,
    make_rank,
    rank_candidates,
)
from verbenahall.placement._decisions import PlacementRequest
from verbenahall.placement._load_table import InFlight
from verbenahall.placement._messages import (
    UNKNOWN_SOURCE,
    Plan,
    RequestSource,
)

#: Number of requests above which a queue is long, and the interval in seconds
#: at which those that can be on time are then selected. A selection among 300
#: requests takes about a millisecond, and a queue is run every 5 ms.
_LONG_QUEUE: Final = 50
_SELECTION_S: Final = 0.02
_NO_ENGINES: Final[frozenset[str]] = frozenset()
#: Rank of a request before the first run over the queue.
_UNRANKED: Final[Rank] = (0, False, Stage.ON_TIME, True, 0)


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
    part of it until a decode engine has a free slot, ``prefill_s`` the time for
    which an engine prefills it, ``planned_engine`` the engine that does so by
    its last plan, and ``preferred_engine`` the engine most likely to have its
    shared parts cached. ``source`` is where it comes from, and
    ``beyond_share`` whether its workspace has used more than its share of the
    engines. ``turn`` is whether its caller returns as told, and ``rank`` its
    sort key in the queue.
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
    prefill_s: float = 0
    planned_engine: str = ''
    turn: Turn = Turn.ORDINARY
    rank: Rank = _UNRANKED

    def update_estimates(self, plan: Plan, prefill_s: float) -> None:
        """Update the expected times by a plan."""
        self.expected_first_s = plan.wait_s - plan.ahead_s
        self.slot_wait_s = plan.slot_wait_s
        self.prefill_s = prefill_s
        self.planned_engine = (plan.prefill_engine or plan.decode_engine).name

    @property
    def is_left_out(self) -> bool:
        """Whether it is served after those of its priority on time."""
        return self.rank[2] > Stage.ON_TIME

    def is_late(self, now: float) -> bool:
        """Whether the first event can no longer be on time.

        True also for a request that was left out to let others be on time.
        """
        return self.is_left_out or now + self.expected_first_s > self.due_at

    def will_expire(self, now: float) -> bool:
        """Whether the caller leaves before the first event."""
        return now + self.expected_first_s > self.leaves_at


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
class PrefillQueue:
    """The queued requests of a service, and how fast they are admitted.

    ``drain_rate`` measures all admissions a second, ``late_drain_rate`` those
    of requests that are late. ``overload`` holds by how much first events were
    later than expected, which groups of requests are starved, and when refused
    callers return.
    """

    __slots__ = (
        'waiting',
        'drain_rate',
        'late_drain_rate',
        'overload',
        '_selected_at',
    )

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[QueuedRequest] = []
        self.drain_rate = RateMeter()
        self.late_drain_rate = RateMeter()
        self.overload = OverloadState()
        self._selected_at = -float('inf')

    def predict_start(self, pending: QueuedRequest, now: float) -> float:
        """Return when its engine would start on a request that is sent now.

        It includes a bound on the delay that recent requests had at that
        engine. Without it, requests would be admitted at the last moment at
        which they could be on time, and all would be slightly late.
        """
        delays = self.overload.delays
        return now + delays.estimate_bound(pending.planned_engine, now)

    def will_expire(
        self, pending: QueuedRequest, wait_s: float, now: float
    ) -> bool:
        """Whether a caller leaves first if its request is sent in ``wait_s``.

        It includes the mean delay that recent requests had at its engine.
        """
        delay_s = self.overload.delays.estimate(pending.planned_engine, now)
        return pending.will_expire(now + delay_s + wait_s)

    def rank_waiting(
        self, engines: EngineShare, now: float
    ) -> Sequence[QueuedRequest]:
        """Return the waiting requests in the order in which they are served.

        Those of a long queue that can be on time are not selected anew at each
        run; new requests are then ranked as if they were alone.
        """
        passed_s = now - self._selected_at
        if len(self.waiting) > _LONG_QUEUE and passed_s < _SELECTION_S:
            return sorted(self.waiting, key=operator.attrgetter('rank'))
        self._selected_at = now
        return rank_candidates(
            self.waiting,
            engines,
            self.overload.delays.estimate_bounds(now),
            self.overload.outcomes.find_starved(now),
            now,
        )

    def record_arrival(self, pending: QueuedRequest, now: float) -> None:
        """Set the preliminary rank of a request that has just arrived.

        With an empty queue a request is tried regardless of the delays that the
        last ones had.
        """
        pending.turn = self.overload.returns.classify(pending.source, now)
        if pending.turn is not Turn.ORDINARY:
            self.overload.counts[pending.turn.name.lower()] += 1
        start = self.predict_start(pending, now) if self.waiting else now
        pending.rank = make_rank(pending, start)

    def record_first_event(
        self, pending: QueuedRequest, took_s: float, now: float
    ) -> None:
        """Record the time to the first event of an admitted request."""
        self.overload.delays.observe(
            pending.planned_engine,
            max(0, took_s - pending.expected_first_s),
            now,
        )
        self.overload.outcomes.record(
            pending.source, now, missed=now > pending.due_at
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
            if admitted.pending.rank[2] is Stage.LEFT_OUT:
                self.overload.counts['left_out'] += 1
