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

#: The drain rate is measured over stretches of this length, in seconds.
_COUNT_S: Final = 0.5
#: Weight of the newest stretch in the drain rate.
_RATE_WEIGHT: Final = 0.4
_SHORTEST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 60.0
#: Hint before anything has drained, in seconds.
_UNKNOWN_RETRY_S: Final = 1.0


def ask(state: AdmissionState, ticket: Ticket, now: float) -> Effects:
    """Let a request run, wait, or be given up, itself or a lower one."""
    if _has_slot(state, ticket.priority) and not _waits_before(state, ticket):
        _start(state, ticket, now)
        return Effects(admitted=(ticket,))
    late = _foresee_deadline(state, ticket, now)
    if late:
        return Effects(given_up=((ticket, late),))
    return _enqueue(state, ticket)


def finish(state: AdmissionState, request: str, now: float) -> Effects:
    """End a running request and start whoever is next."""
    ticket = state.running.pop(request, None)
    if ticket is None:
        return Effects()
    state.flags_running -= ticket.priority == FLAG_PRIORITY
    _count_drained(state, now)
    admitted = tuple(_start_next(state, now))
    if not state.running:
        # An idle lane drains nothing; counting on would make it look slow.
        state.counted_from = None
    return Effects(admitted=admitted)


def withdraw(state: AdmissionState, ticket: Ticket) -> bool:
    """Take a waiting request out, as when its caller has gone."""
    return state.queues[ticket.priority].remove(ticket)


def expire(state: AdmissionState, now: float) -> Effects:
    """Give up waiting requests whose deadline has passed."""
    given_up = []
    for queue in state.queues:
        for ticket in queue.pop_late(now):
            given_up.append((ticket, _describe_late(state, ticket)))
    return Effects(given_up=tuple(given_up))


def resize(
    state: AdmissionState,
    limits: AdmissionLimits,
    now: float,
) -> Effects:
    """Take other limits, as when engines come or go."""
    state.limits = limits
    return Effects(admitted=tuple(_start_next(state, now)))


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


def _start(state: AdmissionState, ticket: Ticket, now: float) -> None:
    if state.counted_from is None:
        state.counted_from = now
        state.counted = 0
    state.running[ticket.request] = ticket
    state.flags_running += ticket.priority == FLAG_PRIORITY


def _start_next(state: AdmissionState, now: float) -> Iterator[Ticket]:
    for priority, queue in enumerate(state.queues):
        while queue.size and _has_slot(state, priority):
            ticket = queue.pop(state.shares)
            _start(state, ticket, now)
            yield ticket


def _enqueue(state: AdmissionState, ticket: Ticket) -> Effects:
    queue = state.queues[ticket.priority]
    if queue.size >= state.limits.queue_per_priority:
        return _refuse(state, ticket, ErrorKind.OVERLOADED)
    if _count_workspace(state, ticket) >= state.limits.queue_per_workspace:
        return _displace(state, ticket, ticket.workspace)
    if state.waiting >= state.limits.queue_total:
        return _displace(state, ticket, '')
    queue.push(ticket)
    return Effects()


def _displace(
    state: AdmissionState,
    ticket: Ticket,
    workspace: str,
) -> Effects:
    """Give up the newest of the lowest priority in the ticket's favour."""
    for queue in reversed(state.queues[ticket.priority + 1 :]):
        if queue.size and (not workspace or workspace in queue.waiting):
            shed = queue.pop_newest(workspace)
            state.queues[ticket.priority].push(ticket)
            problem = _describe_full(state, shed, ErrorKind.OVERLOADED)
            return Effects(given_up=((shed, problem),))
    kind = ErrorKind.QUOTA_EXCEEDED if workspace else ErrorKind.OVERLOADED
    return _refuse(state, ticket, kind)


def _refuse(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
) -> Effects:
    problem = _describe_full(state, ticket, kind)
    return Effects(given_up=((ticket, problem),))


def _count_workspace(state: AdmissionState, ticket: Ticket) -> int:
    counts = (queue.count(ticket.workspace) for queue in state.queues)
    return sum(counts)


def _count_drained(state: AdmissionState, now: float) -> None:
    state.counted += 1
    counted_from = now if state.counted_from is None else state.counted_from
    stretch = now - counted_from
    if stretch < _COUNT_S:
        return
    rate = state.counted / stretch
    if state.drain_rate is not None:
        rate = state.drain_rate + _RATE_WEIGHT * (rate - state.drain_rate)
    state.drain_rate = rate
    state.counted_from = now
    state.counted = 0


def _estimate_wait(state: AdmissionState, priority: int) -> float | None:
    """Return the wait in seconds behind all that goes before, if known."""
    if not state.drain_rate:
        return None
    queues = state.queues[: priority + 1]
    ahead = sum(queue.size for queue in queues)
    return (ahead + 1) / state.drain_rate


def _foresee_deadline(
    state: AdmissionState,
    ticket: Ticket,
    now: float,
) -> Problem | None:
    wait = _estimate_wait(state, ticket.priority)
    if wait is None or ticket.priority == FLAG_PRIORITY:
        return None
    if now + wait <= ticket.deadline:
        return None
    return _describe_full(state, ticket, ErrorKind.OVERLOADED)


def _describe_full(
    state: AdmissionState,
    ticket: Ticket,
    kind: ErrorKind,
) -> Problem:
    return Problem(
        kind,
        f'no room for priority {ticket.priority} now',
        Ran.NO,
        _hint_retry(state, ticket),
    )


def _describe_late(state: AdmissionState, ticket: Ticket) -> Problem:
    return Problem(
        ErrorKind.DEADLINE_EXCEEDED,
        'the deadline passed while the request waited',
        Ran.NO,
        _hint_retry(state, ticket),
    )


def _hint_retry(state: AdmissionState, ticket: Ticket) -> float:
    wait = _estimate_wait(state, ticket.priority)
    if wait is None:
        return _UNKNOWN_RETRY_S
    return min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait))
