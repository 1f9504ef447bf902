"""Assignments to engines that are back after a failure."""

from collections.abc import Sequence

from verbenahall import endpoint_health
from verbenahall.scheduling._decisions import Progress
from verbenahall.scheduling._messages import (
    Assignment,
    FirstEvent,
    Message,
    Prefilled,
    Released,
)
from verbenahall.scheduling._state import SchedulerState


def begin_trials(
    health: endpoint_health.EndpointHealthTable, message: Message, now: float
) -> None:
    """Count an assignment as a trial of its engines."""
    if isinstance(message, Assignment):
        endpoint_health.begin_trials(
            health, _list_engines(message), message.key, now
        )


def record_trial_progress(
    state: SchedulerState,
    progress: Progress,
    health: endpoint_health.EndpointHealthTable,
    now: float,
) -> None:
    """Record what the progress of an assignment says of its engines.

    To be called before ``record_progress``, which forgets the assignment.
    """
    assigned = state.assigned.get(progress.key)
    if assigned is None:
        return
    answer = assigned.answer
    match progress:
        case Prefilled():
            endpoint_health.record_trials(
                health, (answer.prefill,), now, good=True
            )
        case FirstEvent():
            endpoint_health.record_trials(
                health, (answer.decode,), now, good=True
            )
        case Released(failed=failed):
            endpoint_health.record_trials(health, (failed,), now, good=False)
            endpoint_health.end_trials(
                health, _list_engines(answer), progress.key
            )


def _list_engines(assignment: Assignment) -> Sequence[str]:
    """Return the engines of an assignment; there may be no prefill engine."""
    return (assignment.prefill, assignment.decode)
