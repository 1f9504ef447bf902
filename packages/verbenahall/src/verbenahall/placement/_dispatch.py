"""Decides which prompt is prefilled next, and which requests are refused.

An engine prefills all prompts that it has admitted concurrently. When more
arrive than the engines can prefill, all of them end late, though many could
have been on time. So only a few prefills are open at an engine at a time. The
other requests wait in a queue, ordered by priority and by whether they can
still be on time.
"""

import random
from collections.abc import Iterator, Sequence

from returns.result import Failure, Success

from verbenahall.errors import MAX_RETRY_SHARE, ErrorKind, Problem, Ran
from verbenahall.overload import EngineShare
from verbenahall.placement._decisions import find_preferred_engine
from verbenahall.placement._messages import Plan
from verbenahall.placement._queue import (
    Admitted,
    PrefillQueue,
    QueuedRequest,
    QueueEffects,
)
from verbenahall.placement._slots import AdmissionSlots, Fleet


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
            _update_estimates(pending, plan, fleet)
            pending.preferred_engine = find_preferred_engine(
                pending.placement_request.work, fleet.prefill_engines
            )
        case Failure(problem):
            return QueueEffects(refused=((pending, problem),))
    queue.record_arrival(pending, now)
    # With an empty queue a request is tried regardless of the delays that the
    # last ones had.
    wait_s = _estimate_wait_s(queue, pending, now)
    if pending.will_expire(now) or (
        queue.waiting and queue.will_expire(pending, wait_s, now)
    ):
        return QueueEffects(
            refused=((pending, _refuse(queue, pending, now, rng)),)
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
    ranked = queue.rank_waiting(_describe_engines(fleet), now)
    admitted = tuple(_admit(ranked, fleet, now))
    for admission in admitted:
        queue.remove(admission.pending)
    started = {one.pending for one in admitted}
    remaining = [pending for pending in ranked if pending not in started]
    expiring = tuple(_find_expiring(queue, remaining, now))
    refused = [(one, _refuse(queue, one, now, rng)) for one in expiring]
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
    """Yield the requests whose callers will leave before admission."""
    rate = queue.late_drain_rate.read(now)
    delays = queue.overload.delays.estimate_all(now)
    late = 0
    for pending in ranked:
        late += pending.is_left_out
        wait_s = late / rate if rate and pending.is_left_out else 0
        start = now + delays.get(pending.planned_engine, 0)
        if pending.will_expire(start + wait_s):
            late -= pending.is_left_out
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
        _update_estimates(pending, plan, fleet)
        if slots.has_room(pending, plan, now) and not pending.will_expire(now):
            yield Admitted(pending, plan, slots.reserve(plan))


def _estimate_wait_s(
    queue: PrefillQueue, pending: QueuedRequest, now: float
) -> float:
    """Return how long the requests ahead in the queue take, in seconds."""
    late = pending.is_left_out
    rate = (queue.late_drain_rate if late else queue.drain_rate).read(now)
    if not rate:
        return 0
    ahead = sum(
        one.rank < pending.rank
        for one in queue.waiting
        if one.is_left_out is late
    )
    return ahead / rate


def _refuse(
    queue: PrefillQueue,
    pending: QueuedRequest,
    now: float,
    rng: random.Random,
) -> Problem:
    """Count a refusal and return it, with the time after which to retry.

    That is the time in which the queue ahead of it drains, or a decode engine
    has a free slot, after those that were refused before.
    """
    wait_s = max(_estimate_wait_s(queue, pending, now), pending.slot_wait_s)
    left_s = pending.leaves_at - now
    retry_s = queue.overload.returns.schedule(
        pending.source,
        wait_s,
        left_s * MAX_RETRY_SHARE,
        queue.drain_rate.read(now),
        now,
        rng,
    )
    queue.overload.outcomes.record(pending.source, now, missed=True)
    queue.overload.counts['refused'] += 1
    delay_s = queue.overload.delays.estimate(pending.planned_engine, now)
    expected_s = delay_s + wait_s + pending.expected_first_s
    return Problem(
        ErrorKind.OVERLOADED,
        f'{len(queue.waiting)} requests wait for prefill: a first event takes'
        f' {expected_s:.1f} s, and the caller leaves in {left_s:.1f} s',
        Ran.NO,
        retry_after_s=retry_s,
    )


def _describe_engines(fleet: Fleet) -> EngineShare:
    """Return the engines that prefill, and how many instances use them."""
    return EngineShare(
        frozenset(one.name for one in fleet.prefill_engines),
        fleet.state.load_table.prefilling_peers + 1,
    )


def _update_estimates(pending: QueuedRequest, plan: Plan, fleet: Fleet) -> None:
    """Update the expected times of a request by its plan."""
    cached = pending.placement_request.work.prompt_tokens - plan.missing
    pending.update_estimates(
        plan, fleet.state.prefill_speed.predict_s(plan.missing, cached)
    )
