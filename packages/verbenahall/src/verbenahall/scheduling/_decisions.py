"""The scheduler's decisions: queue, assign, reject, and record progress.

All requests of all instances to a group pass one queue. So the load of the
group is known exactly, except for datagrams under way, and requests are
ordered by priority and due time.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure

from verbenahall import fair_shares
from verbenahall.catalog import Service
from verbenahall.errors import Problem
from verbenahall.placement import (
    Admitted,
    Fleet,
    PlacementRequest,
    QueuedRequest,
    QueueEffects,
    Totals,
    dispatch,
    enqueue,
)
from verbenahall.roster import Entry
from verbenahall.scheduling._messages import (
    Assignment,
    Declined,
    FirstEvent,
    Prefilled,
    Queued,
    Rejection,
    Released,
    ScheduleRequest,
)
from verbenahall.scheduling._state import (
    Assigned,
    Reply,
    SchedulerState,
    Waiting,
)

#: Time after its start from which a scheduler relies on its own records of the
#: prefixes that engines have cached, in seconds. Before that, most prefixes may
#: have been prefilled under another scheduler, which it has replaced.
_CACHES_COMPLETE_S: Final = 5.0
#: Time in seconds after the deadline of a request at which its load is released
#: if no end was reported, because its instance has crashed.
_GRACE_S: Final = 0.5

Replies = Sequence[Reply]
Progress = Prefilled | FirstEvent | Released


def receive_request(
    state: SchedulerState,
    request: ScheduleRequest,
    sender: str,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> Replies:
    """Add a request to the queue, or answer a copy of it as before.

    A new request that is not rejected is answered by the next
    ``assign_waiting``, which goes through the whole queue once for all requests
    that have arrived together. An instance repeats its request while it waits,
    to check that the scheduler still runs and to get an answer that was lost.
    ``sender`` is the address of that instance.
    """
    assigned = state.assigned.get(request.key)
    if assigned is not None:
        return (Reply(sender, assigned.answer),)
    waiting = state.waiting.get(request.key)
    if waiting is not None:
        waiting.pending.unavailable = frozenset(request.unavailable)
        return (Reply(sender, _answer_waiting(state, waiting, fleet, now)),)
    complete = now - state.started_at > _CACHES_COMPLETE_S
    state.placement.caches_complete = complete
    waiting = _make_waiting(request, sender, now)
    state.waiting[request.key] = waiting
    effects = enqueue(state.queue, waiting.pending, fleet, now, rng)
    return tuple(_apply(state, effects, now))


def assign_waiting(
    state: SchedulerState,
    fleet: Fleet,
    now: float,
    rng: random.Random,
) -> Replies:
    """Assign requests to engines with room; reject those that would expire.

    Requests that stay in the queue are answered with ``Queued`` once.
    """
    if not state.queue.waiting:
        return ()
    fair_shares.mark_beyond_share(state.shares, state.queue.waiting, now)
    effects = dispatch(state.queue, fleet, now, rng)
    return (*_apply(state, effects, now), *_notify_waiting(state))


def decline_waiting(state: SchedulerState, now: float) -> Replies:
    """Decline all waiting requests, as their service is not scheduled here."""
    replies = tuple(
        Reply(waiting.sender, Declined(key))
        for key, waiting in state.waiting.items()
    )
    state.waiting.clear()
    state.queue.waiting.clear()
    state.queue.update_rates(now, ())
    return replies


def record_progress(
    state: SchedulerState,
    progress: Progress,
    service: Service,
    now: float,
) -> None:
    """Record the progress of an assignment; ignores unknown ones."""
    waiting = state.waiting.pop(progress.key, None)
    if waiting is not None:
        # The caller left, or the instance has chosen engines by itself in the
        # meantime.
        state.queue.remove(waiting.pending)
    assigned = state.assigned.get(progress.key)
    if assigned is None:
        return
    state.placement.load_table.close(assigned.prefill)
    share = state.placement.shared_time.end(assigned.prefill.number, now)
    match progress:
        case Prefilled(seconds=seconds):
            _record_prefill(state, assigned, seconds, share, service, now)
            _record_success(state, assigned.plan.prefill_engine, now)
        case FirstEvent():
            _record_first_event(state, assigned, progress, service, now)
            _record_success(state, assigned.plan.decode_engine, now)
        case Released():
            _record_release(state, assigned, progress, service, now)


def expire_assignments(state: SchedulerState, now: float) -> None:
    """Release the assignments whose instances have not reported an end."""
    overdue = [
        assigned
        for assigned in state.assigned.values()
        if now > assigned.waiting.deadline + _GRACE_S
    ]
    for assigned in overdue:
        _release(state, assigned, now)


def _answer_waiting(
    state: SchedulerState, waiting: Waiting, fleet: Fleet, now: float
) -> Queued | Rejection:
    """Answer a queued request; rejects it if no engine accepts it any more."""
    pending = waiting.pending
    if pending.unavailable:
        placed = fleet.place(pending, now)
        if isinstance(placed, Failure):
            state.queue.remove(pending)
            state.waiting.pop(pending.request_id)
            return _reject(pending, placed.failure())
    return Queued(pending.request_id)


def _notify_waiting(state: SchedulerState) -> Iterator[Reply]:
    for key, waiting in state.waiting.items():
        if not waiting.notified:
            waiting.notified = True
            yield Reply(waiting.sender, Queued(key))


def _make_waiting(
    request: ScheduleRequest,
    sender: str,
    now: float,
) -> Waiting:
    pending = QueuedRequest(
        request.key,
        PlacementRequest(
            request.work,
            request.gap_s,
            priority=request.priority,
            version=request.version,
        ),
        request.priority,
        queued_at=now,
        due_at=now + request.due_s,
        objective_s=request.objective_s,
        leaves_at=now + request.leaves_s,
        returning=request.returning,
        tried=frozenset(request.tried),
        unavailable=frozenset(request.unavailable),
        source=request.source,
    )
    return Waiting(pending, sender, now + request.deadline_s)


def _apply(
    state: SchedulerState,
    effects: QueueEffects,
    now: float,
) -> Iterator[Reply]:
    for admitted in effects.admitted:
        waiting = state.waiting.pop(admitted.pending.request_id)
        yield _assign(state, waiting, admitted, now)
    for pending, problem in effects.refused:
        waiting = state.waiting.pop(pending.request_id)
        yield Reply(waiting.sender, _reject(pending, problem))


def _assign(
    state: SchedulerState,
    waiting: Waiting,
    admitted: Admitted,
    now: float,
) -> Reply:
    """Add the load of a request to the load table until it is released."""
    plan = admitted.plan
    key = admitted.pending.request_id
    fair_shares.charge_admitted(
        state.shares, admitted.pending, plan, state.placement, now
    )
    placement_request = admitted.pending.placement_request
    decode = state.placement.load_table.open(
        plan.decode_engine.name,
        Totals(
            held_tokens=placement_request.work.context_tokens,
            streams=1,
        ),
        placement_request.make_stream(
            now, has_handle=plan.prefill_engine is not None
        ),
    )
    answer = Assignment(
        key=key,
        prefill=plan.prefill_engine.name if plan.prefill_engine else '',
        decode=plan.decode_engine.name,
        missing=plan.missing,
        wait_s=plan.wait_s,
        ahead_s=plan.ahead_s,
        reason=plan.reason,
    )
    state.placement.shared_time.start(
        admitted.flight.number, admitted.flight.engine, now
    )
    state.assigned[key] = Assigned(
        waiting,
        plan,
        answer,
        admitted.flight,
        decode,
    )
    return Reply(waiting.sender, answer)


def _reject(pending: QueuedRequest, problem: Problem) -> Rejection:
    return Rejection(
        pending.request_id,
        problem.kind.value,
        problem.message,
        problem.answer.retry_after_s or 0,
    )


def _record_prefill(
    state: SchedulerState,
    assigned: Assigned,
    seconds: float,
    share: float,
    service: Service,
    now: float,
) -> None:
    plan = assigned.plan
    engine = plan.prefill_engine or plan.decode_engine
    pending = assigned.waiting.pending
    work = pending.placement_request.work
    fair_shares.record_prefill(
        state.shares, pending, plan, state.placement, seconds
    )
    if service.engine is not None:
        sample = plan.make_sample(work, seconds, share, alone=not plan.ahead_s)
        state.placement.record_prefill_time(engine, sample, service.engine, now)
    state.placement.record_cached(engine, work, service)


def _record_first_event(
    state: SchedulerState,
    assigned: Assigned,
    event: FirstEvent,
    service: Service,
    now: float,
) -> None:
    pending = assigned.waiting.pending
    assigned.decode = state.placement.load_table.record_first_event(
        assigned.decode, now
    )
    state.queue.record_first_event(pending, event.seconds, now)
    if event.handover_s:
        state.placement.handover.observe(event.handover_s, now)
    state.placement.record_cached(
        assigned.plan.decode_engine, pending.placement_request.work, service
    )


def _record_success(
    state: SchedulerState, engine: Entry | None, now: float
) -> None:
    if engine is not None:
        state.placement.failures.record(engine.name, now, failed=False)


def _record_release(
    state: SchedulerState,
    assigned: Assigned,
    released: Released,
    service: Service,
    now: float,
) -> None:
    _release(state, assigned, now)
    fair_shares.release(
        state.shares,
        assigned.waiting.pending,
        refused=bool(released.refused),
    )
    if released.failed:
        state.placement.failures.record(released.failed, now, failed=True)
    if released.step_s and service.engine is not None:
        state.placement.record_step_time(
            assigned.plan.decode_engine, released.step_s, service.engine, now
        )


def _release(state: SchedulerState, assigned: Assigned, now: float) -> None:
    state.placement.load_table.close(assigned.prefill)
    state.placement.load_table.close(assigned.decode)
    state.placement.shared_time.end(assigned.prefill.number, now)
    state.assigned.pop(assigned.answer.key)
