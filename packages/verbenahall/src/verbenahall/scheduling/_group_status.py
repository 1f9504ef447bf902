"""What a scheduler states of its group's load, and prompts of other groups."""

import dataclasses
from collections.abc import Sequence
from typing import Final

from verbenahall import overflow
from verbenahall.errors import ErrorKind
from verbenahall.scheduling._messages import (
    Assignment,
    Message,
    Queued,
    Rejection,
    ScheduleRequest,
)
from verbenahall.scheduling._state import SchedulerState

#: Kind of the rejection of a prompt that was sent past its group. It is no kind
#: of error: the instance goes on with the next group.
_SPILL_KIND: Final = 'spill'


def refuse_spill(
    state: SchedulerState, request: ScheduleRequest, now: float
) -> Rejection | None:
    """Return the rejection of another group's prompt, None to schedule it.

    A group that is near its limit takes none: two groups that learn of each
    other's pressure at different times would offload to each other. Copies of
    a request that was accepted are not rejected.
    """
    key = request.key
    if key in state.assigned or key in state.waiting:
        return None
    overflow.record_objective(state.group_load, request.objective_s)
    waits_s = _list_waits(state, now)
    if not request.spilled or overflow.accepts_spill(
        state.group_load, request.spilled, waits_s, now
    ):
        return None
    return Rejection(key, _SPILL_KIND, 'the group is near its limit', 0)


def add_status(state: SchedulerState, message: Message, now: float) -> Message:
    """Return an answer with the status of the group.

    Records how long an assigned prompt has waited.
    """
    match message:
        case Assignment(key=key, ahead_s=ahead_s) if key in state.assigned:
            pending = state.assigned[key].waiting.pending
            waited_s = now - pending.queued_at
            overflow.record_wait(state.group_load, waited_s + ahead_s, now)
        case Rejection(kind=ErrorKind.OVERLOADED.value):
            overflow.record_rejected(state.group_load, now)
    if not isinstance(message, Assignment | Queued | Rejection):
        return message
    status = overflow.describe_load(
        state.group_load, _list_waits(state, now), now
    )
    return dataclasses.replace(message, status=status)


def _list_waits(state: SchedulerState, now: float) -> Sequence[float]:
    return [now - one.queued_at for one in state.queue.waiting]
