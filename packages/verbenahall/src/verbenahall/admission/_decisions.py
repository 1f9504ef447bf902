"""Strict order between priorities, fair shares inside one, shedding at once.

Flags have slots of their own beyond the others', and go before all others
for the common ones, so they wait for nothing but other flags. Whoever cannot
be served within the deadline hears it on arrival, not when it has passed.
"""

from collections.abc import Iterator
from typing import Final

from verbenahall.admission._messages import FLAG_PRIORITY, Effects, Ticket
from verbenahall.admission._state import AdmissionLimits, AdmissionState
from verbenahall.errors import ErrorKind, Problem, Ran

#: However many higher ones arrive, a queue is thought to keep this share.
_LEAST_LEFT: Final = 0.01
_SHORTEST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 60.0
#: Hint before anything has drained, in seconds.
_UNKNOWN_RETRY_S: Final = 1.0


def ask(state: AdmissionState, ticket: Ticket, now: float) -> Effects:
    """Let a request run, wait, or be given up, itself or a lower one."""
    arrivals = state.arrivals[ticket.priority]
    arrivals.resume(now)
    arrivals.count(now)
    if _has_slot(state, ticket.priority) and not _waits_before(state, ticket):
        _start(state, ticket)
        return Effects(admitted=(ticket,))
    if _is_hopeless(state, ticket, now):
        return _refuse(state, ticket, ErrorKind.OVERLOADED, now)
    effects = _enqueue(state, ticket, now)
    if state.waiting:
        # Only a lane with a queue drains as fast as it can.
        state.drained.resume(now)
    return effects


def finish(state: AdmissionState, request: str, now: float) -> Effects:
    """End a running request and start whoever is next."""
    ticket = state.running.pop(request, None)
    if ticket is None:
        return Effects()
    state.flags_running -= ticket.priority == FLAG_PRIORITY
    if state.waiting:
        state.drained.count(now)
    return Effects(admitted=tuple(_start_next(state)))


def withdraw(state: AdmissionState, ticket: Ticket) -> bool:
    """Take a waiting request out, as when its caller has gone."""
    return state.queues[ticket.priority].remove(ticket)


def expire(state: AdmissionState, now: float) -> Effects:
    """Give up who has waited too long, or has no chance any more.

    A queue that higher priorities have cut off is emptied at once: its
    callers would otherwise wait for their deadlines and come back all
    together.
    """
    given_up = []
    for priority, queue in enumerate(state.queues):
        for late in queue.pop_late(now):
            given_up.append((late, _describe_late(state, late, now)))
        for cut_off in _pop_cut_off(state, priority, now):
            problem = _describe_full(state, cut_off, ErrorKind.OVERLOADED, now)
            given_up.append((cut_off, problem))
    return Effects(given_up=tuple(given_up))


def resize(state: AdmissionState, limits: AdmissionLimits) -> Effects:
    """Take other limits, as when engines come or go."""
    state.drained.scale(limits.slots / state.limits.slots)
    state.limits = limits
    return Effects(admitted=tuple(_start_next(state)))


def _has_slot(state: AdmissionState, priority: int) -> bool:
    limits = state.limits
    if priority == FLAG_PRIORITY:
        return len(state.running) < limits.slots + limits.flag_slots
    # Flags that run in their own slots take none of the others'.
    over = max(0, state.flags_running - limits.flag_slots)
    others = len(state.running) - state.flags_running
    return others + over < limits.slots


def _waits_before(state: AdmissionState, ticket: Ticket) -> bool:
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
        state.drained.pause()


def _enqueue(state: AdmissionState, ticket: Ticket, now: float) -> Effects:
    queue = state.queues[ticket.priority]
    if queue.size >= state.limits.queue_per_priority:
        return _refuse(state, ticket, ErrorKind.OVERLOADED, now)
    workspace = ticket.workspace
    if _count_workspace(state, ticket) >= state.bound_of(workspace):
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
    """Give up the newest of the lowest priority in the ticket's favour."""
    for queue in reversed(state.queues[ticket.priority + 1 :]):
        if queue.size and (not workspace or workspace in queue.waiting):
            shed = queue.pop_newest(workspace)
            state.queues[ticket.priority].push(ticket)
            problem = _describe_full(state, shed, ErrorKind.OVERLOADED, now)
            return Effects(given_up=((shed, problem),))
    kind = ErrorKind.QUOTA_EXCEEDED if workspace else ErrorKind.OVERLOADED
    return _refuse(state, ticket, kind, now)


def _refuse(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
    now: float,
) -> Effects:
    problem = _describe_full(state, ticket, kind, now)
    return Effects(given_up=((ticket, problem),))


def _count_workspace(state: AdmissionState, ticket: Ticket) -> int:
    counts = (queue.count(ticket.workspace) for queue in state.queues)
    return sum(counts)


def _estimate_wait(
    state: AdmissionState,
    priority: int,
    now: float,
) -> float | None:
    """Return the wait in seconds of one who comes last, if known.

    Higher priorities go first also when they come later, so only what the
    lane drains beyond their arrivals is left for the others.
    """
    drained = state.drained.read(now)
    if drained is None:
        return None
    queues = state.queues[: priority + 1]
    ahead = sum(queue.size for queue in queues)
    return (ahead + 1) / _find_left(state, priority, drained, now)


def _find_left(
    state: AdmissionState,
    priority: int,
    drained: float,
    now: float,
) -> float:
    higher = state.arrivals[:priority]
    rates = [meter.read(now) for meter in higher]
    arrived = sum(rate for rate in rates if rate)
    return max(drained - arrived, drained * _LEAST_LEFT)


def _is_hopeless(state: AdmissionState, ticket: Ticket, now: float) -> bool:
    """Whether a request would wait beyond its deadline; flags always wait."""
    wait = _estimate_wait(state, ticket.priority, now)
    if wait is None or ticket.priority == FLAG_PRIORITY:
        return False
    return now + wait > ticket.deadline


def _pop_cut_off(
    state: AdmissionState,
    priority: int,
    now: float,
) -> list[Ticket]:
    drained = state.drained.read(now)
    if drained is None or priority == FLAG_PRIORITY:
        return []
    left = _find_left(state, priority, drained, now)
    return state.queues[priority].pop_hopeless(now, 1 / left)


def _describe_full(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
    now: float,
) -> Problem:
    return Problem(
        kind,
        f'no room for priority {ticket.priority} now',
        Ran.NO,
        _hint_retry(state, ticket, now),
    )


def _describe_late(
    state: AdmissionState,
    ticket: Ticket,
    now: float,
) -> Problem:
    return Problem(
        ErrorKind.DEADLINE_EXCEEDED,
        'the deadline passed while the request waited',
        Ran.NO,
        _hint_retry(state, ticket, now),
    )


def _hint_retry(state: AdmissionState, ticket: Ticket, now: float) -> float:
    wait = _estimate_wait(state, ticket.priority, now)
    if wait is None:
        return _UNKNOWN_RETRY_S
    return min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait))
