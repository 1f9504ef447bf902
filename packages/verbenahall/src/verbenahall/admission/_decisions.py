"""Strict priorities, fair shares between workspaces, and early load shedding.

Flags are the requests of the highest priority. They have slots of their own
and also get the common slots first, so a flag waits only for other flags. A
request that cannot run before its deadline is rejected on arrival, not when
the deadline has passed.
"""

from collections.abc import Iterator
from typing import Final

from verbenahall.admission._messages import FLAG_PRIORITY, Effects, Ticket
from verbenahall.admission._state import AdmissionLimits, AdmissionState
from verbenahall.errors import ErrorKind, Problem, Ran

#: Minimum share of the drain rate that is assumed for a queue, whatever the
#: arrival rates of higher priorities.
_MIN_REMAINING_SHARE: Final = 0.01
#: Bounds of the retry time given to callers, in seconds.
_MIN_RETRY_S: Final = 0.1
_MAX_RETRY_S: Final = 60.0
#: Retry time before a drain rate was measured, in seconds.
_DEFAULT_RETRY_S: Final = 1.0


def submit(state: AdmissionState, ticket: Ticket, now: float) -> Effects:
    """Admit, queue or reject a request.

    If the queue is full, a waiting request of lower priority is rejected in its
    place.
    """
    meter = state.arrival_rates[ticket.priority]
    meter.resume(now)
    meter.count(now)
    if _has_slot(state, ticket.priority) and not _has_queue_ahead(
        state, ticket
    ):
        _start(state, ticket)
        return Effects(admitted=(ticket,))
    if _will_expire(state, ticket, now):
        return _reject(state, ticket, ErrorKind.OVERLOADED, now)
    effects = _enqueue(state, ticket, now)
    if state.waiting:
        # The drain rate is measured only while requests wait: an idle lane
        # drains no faster than requests arrive.
        state.drain_rate.resume(now)
    return effects


def finish(state: AdmissionState, request: str, now: float) -> Effects:
    """End a running request and admit the next ones."""
    ticket = state.running.pop(request, None)
    if ticket is None:
        return Effects()
    state.flags_running -= ticket.priority == FLAG_PRIORITY
    if state.waiting:
        state.drain_rate.count(now)
    return Effects(admitted=tuple(_start_next(state)))


def withdraw(state: AdmissionState, ticket: Ticket) -> bool:
    """Remove a waiting request, for example when its caller has left."""
    return state.queues[ticket.priority].remove(ticket)


def expire(state: AdmissionState, now: float) -> Effects:
    """Reject requests whose deadline has passed or will pass in the queue.

    A queue that is starved by higher priorities is rejected at once. Otherwise
    its callers would wait until their deadlines and then all retry together.
    """
    rejected = []
    for priority, queue in enumerate(state.queues):
        for expired in queue.pop_expired(now):
            rejected.append(
                (expired, _make_expired_problem(state, expired, now))
            )
        for starved in _pop_starved(state, priority, now):
            problem = _make_capacity_problem(
                state, starved, ErrorKind.OVERLOADED, now
            )
            rejected.append((starved, problem))
    return Effects(rejected=tuple(rejected))


def resize(state: AdmissionState, limits: AdmissionLimits) -> Effects:
    """Change the limits, for example when engines join or leave."""
    state.drain_rate.scale(limits.slots / state.limits.slots)
    state.limits = limits
    return Effects(admitted=tuple(_start_next(state)))


def _has_slot(state: AdmissionState, priority: int) -> bool:
    limits = state.limits
    if priority == FLAG_PRIORITY:
        return len(state.running) < limits.slots + limits.flag_slots
    # Flags in their own slots use none of the common slots.
    excess_flags = max(0, state.flags_running - limits.flag_slots)
    others = len(state.running) - state.flags_running
    return others + excess_flags < limits.slots


def _has_queue_ahead(state: AdmissionState, ticket: Ticket) -> bool:
    ahead = state.queues[: ticket.priority + 1]
    return any(queue.size for queue in ahead)


def _start(state: AdmissionState, ticket: Ticket) -> None:
    state.running[ticket.request] = ticket
    state.flags_running += ticket.priority == FLAG_PRIORITY


def _start_next(state: AdmissionState) -> Iterator[Ticket]:
    for priority, queue in enumerate(state.queues):
        while queue.size and _has_slot(state, priority):
            ticket = queue.pop(state.workspaces)
            _start(state, ticket)
            yield ticket
    if not state.waiting:
        state.drain_rate.pause()


def _enqueue(state: AdmissionState, ticket: Ticket, now: float) -> Effects:
    queue = state.queues[ticket.priority]
    if queue.size >= state.limits.queue_per_priority:
        return _reject(state, ticket, ErrorKind.OVERLOADED, now)
    workspace = ticket.workspace
    if _count_workspace(state, ticket) >= state.find_queue_bound(workspace):
        return _displace(state, ticket, workspace, now)
    if state.waiting >= state.limits.queue_total:
        return _displace(state, ticket, '', now)
    queue.push(ticket)
    return Effects()


def _displace(
    state: AdmissionState,
    ticket: Ticket,
    workspace: str,
    now: float,
) -> Effects:
    """Reject the newest request of the lowest priority to make room."""
    for queue in reversed(state.queues[ticket.priority + 1 :]):
        if queue.size and (not workspace or workspace in queue.waiting):
            displaced = queue.pop_newest(workspace)
            state.queues[ticket.priority].push(ticket)
            problem = _make_capacity_problem(
                state, displaced, ErrorKind.OVERLOADED, now
            )
            return Effects(rejected=((displaced, problem),))
    kind = ErrorKind.QUOTA_EXCEEDED if workspace else ErrorKind.OVERLOADED
    return _reject(state, ticket, kind, now)


def _reject(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
    now: float,
) -> Effects:
    problem = _make_capacity_problem(state, ticket, kind, now)
    return Effects(rejected=((ticket, problem),))


def _count_workspace(state: AdmissionState, ticket: Ticket) -> int:
    counts = (queue.count(ticket.workspace) for queue in state.queues)
    return sum(counts)


def _estimate_wait_s(
    state: AdmissionState,
    priority: int,
    now: float,
) -> float | None:
    """Return the wait of the last request of a queue, if it is known.

    Higher priorities go first even if they arrive later. So only the part of
    the drain rate that exceeds their arrival rates is left for this priority.
    """
    drain_rate = state.drain_rate.read(now)
    if drain_rate is None:
        return None
    queues = state.queues[: priority + 1]
    ahead = sum(queue.size for queue in queues)
    return (ahead + 1) / _find_remaining_rate(state, priority, drain_rate, now)


def _find_remaining_rate(
    state: AdmissionState,
    priority: int,
    drain_rate: float,
    now: float,
) -> float:
    higher = state.arrival_rates[:priority]
    rates = [meter.read(now) for meter in higher]
    arrival_rate = sum(rate for rate in rates if rate)
    return max(drain_rate - arrival_rate, drain_rate * _MIN_REMAINING_SHARE)


def _will_expire(state: AdmissionState, ticket: Ticket, now: float) -> bool:
    """Whether the deadline passes in the queue; never true for flags."""
    wait_s = _estimate_wait_s(state, ticket.priority, now)
    if wait_s is None or ticket.priority == FLAG_PRIORITY:
        return False
    return now + wait_s > ticket.deadline


def _pop_starved(
    state: AdmissionState,
    priority: int,
    now: float,
) -> list[Ticket]:
    drain_rate = state.drain_rate.read(now)
    if drain_rate is None or priority == FLAG_PRIORITY:
        return []
    remaining_rate = _find_remaining_rate(state, priority, drain_rate, now)
    return state.queues[priority].pop_expiring(now, 1 / remaining_rate)


def _make_capacity_problem(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
    now: float,
) -> Problem:
    return Problem(
        kind,
        f'no capacity for a request of priority {ticket.priority}',
        Ran.NO,
        _estimate_retry_s(state, ticket, now),
    )


def _make_expired_problem(
    state: AdmissionState,
    ticket: Ticket,
    now: float,
) -> Problem:
    return Problem(
        ErrorKind.DEADLINE_EXCEEDED,
        'the deadline passed while the request waited',
        Ran.NO,
        _estimate_retry_s(state, ticket, now),
    )


def _estimate_retry_s(
    state: AdmissionState, ticket: Ticket, now: float
) -> float:
    wait_s = _estimate_wait_s(state, ticket.priority, now)
    if wait_s is None:
        return _DEFAULT_RETRY_S
    return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))
