"""Decides which prompt is prefilled next, and which requests are refused.

An engine prefills all prompts that it has admitted concurrently. When more
arrive than the engines can prefill, all of them end late, though many could
have been on time. So only a few prefills are open at an engine at a time. The
other requests wait in a queue, ordered by priority and by whether they can
still be on time.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure, Success

from verbenahall.errors import MAX_RETRY_SHARE, ErrorKind, Problem, Ran
from verbenahall.placement._decisions import find_preferred_engine
from verbenahall.placement._queue import (
    Admitted,
    PrefillQueue,
    QueuedRequest,
    QueueEffects,
)
from verbenahall.placement._slots import AdmissionSlots, Fleet

#: Shortest Retry-After of a refusal, in seconds.
_MIN_RETRY_S: Final = 0.2
#: Range of the random factor of Retry-After.
_RETRY_JITTER: Final = (0.75, 1.25)


def enqueue(
    queue: PrefillQueue,
    pending: QueuedRequest,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> QueueEffects:
    """Add a request to the queue, or refuse it at once.

    Requests that are past their objective get the prefills that those on time
    leave over. One that would get none before its caller leaves is refused on
    arrival.
    """
    match fleet.place(pending, now):
        case Success(plan):
            pending.update_estimates(plan)
            pending.preferred_engine = find_preferred_engine(
                pending.placement_request.work, fleet.prefill_engines
            )
        case Failure(problem):
            return QueueEffects(refused=((pending, problem),))
    # With an empty queue a request is tried regardless of the delays that the
    # last ones had.
    start = queue.predict_start(now) if queue.waiting else now
    if pending.will_expire(start + _estimate_wait_s(queue, pending, start)):
        return QueueEffects(
            refused=((pending, _make_refusal(queue, pending, now, rng)),)
        )
    queue.waiting.append(pending)
    return QueueEffects()


def dispatch(
    queue: PrefillQueue,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> QueueEffects:
    """Admit requests while engines have room; refuse those that expire."""
    if not fleet.can_decode:
        return _refuse_all(queue, fleet, now)
    start = queue.predict_start(now)
    ranked = sorted(queue.waiting, key=lambda pending: pending.rank(start))
    admitted = tuple(_admit(ranked, fleet, now))
    for admission in admitted:
        queue.remove(admission.pending)
    started = {one.pending for one in admitted}
    remaining = [pending for pending in ranked if pending not in started]
    expiring = tuple(_find_expiring(queue, remaining, start))
    refused = [(one, _make_refusal(queue, one, now, rng)) for one in expiring]
    for pending in expiring:
        queue.remove(pending)
    queue.update_rates(now, admitted)
    return QueueEffects(admitted, refused)


def _refuse_all(queue: PrefillQueue, fleet: Fleet, now: float) -> QueueEffects:
    """Refuse all requests when no decode engine is left.

    In the queue they would wait until their callers leave. Refused now,
    callers can retry at an instance that reaches other engines.
    """
    refused = tuple(
        (pending, fleet.place(pending, now).failure())
        for pending in queue.waiting
    )
    queue.waiting.clear()
    queue.update_rates(now, ())
    return QueueEffects(refused=refused)


def _find_expiring(
    queue: PrefillQueue,
    ranked: Sequence[QueuedRequest],
    now: float,
) -> Iterator[QueuedRequest]:
    """Yield the requests whose callers will leave before admission.

    ``now`` is the time at which an engine would start on a request that is
    sent now.
    """
    rate = queue.late_drain_rate.read(now)
    late = 0
    for pending in ranked:
        late += pending.is_late(now)
        wait_s = late / rate if rate and pending.is_late(now) else 0
        if pending.will_expire(now + wait_s):
            late -= 1
            yield pending


def _admit(
    ranked: Sequence[QueuedRequest],
    fleet: Fleet,
    now: float,
) -> Iterator[Admitted]:
    """Admit in order the requests whose engine has room.

    Those whose preferred engine has room come first; few others are placed
    elsewhere.
    """
    slots = AdmissionSlots(fleet)
    remaining = [pending for pending in ranked if not pending.will_expire(now)]
    for pending in slots.list_candidates(remaining):
        plan = fleet.place(pending, now).value_or(None)
        if plan is None:
            continue
        # Since it was queued, streams may have taken the slots.
        pending.update_estimates(plan)
        if slots.has_room(pending, plan, now) and not pending.will_expire(now):
            yield Admitted(pending, plan, slots.reserve(plan))


def _estimate_wait_s(
    queue: PrefillQueue, pending: QueuedRequest, now: float
) -> float:
    """Return how long the requests ahead in the queue take, in seconds."""
    late = pending.is_late(now)
    rate = (queue.late_drain_rate if late else queue.drain_rate).read(now)
    if not rate:
        return 0
    rank = pending.rank(now)
    ahead = sum(
        one.rank(now) < rank
        for one in queue.waiting
        if one.is_late(now) is late
    )
    return ahead / rate


def _make_refusal(
    queue: PrefillQueue,
    pending: QueuedRequest,
    now: float,
    rng: random.Random,
) -> Problem:
    """Return the refusal of a request, with the time after which to retry.

    That is the time in which the queue ahead of it drains, or a decode engine
    has a free slot, with jitter, so that callers refused together don't return
    together.
    """
    wait_s = max(_estimate_wait_s(queue, pending, now), pending.slot_wait_s)
    max_s = (pending.leaves_at - now) * MAX_RETRY_SHARE
    retry_s = max(_MIN_RETRY_S, min(wait_s, max_s))
    return Problem(
        ErrorKind.OVERLOADED,
        f'{len(queue.waiting)} requests wait for prefill, about {wait_s:.1f} s',
        Ran.NO,
        retry_after_s=retry_s * rng.uniform(*_RETRY_JITTER),
    )
