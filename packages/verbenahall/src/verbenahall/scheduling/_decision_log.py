"""Log lines of a scheduler's decisions."""

from verbenahall import journal
from verbenahall.scheduling._messages import Assignment, Message, Rejection
from verbenahall.scheduling._state import SchedulerState


def log_reply(message: Message, state: SchedulerState) -> None:
    """Log a decision with the load that it was based on."""
    match message:
        case Assignment():
            journal.write_decision(
                'assigned',
                request=_read_request_id(message.key),
                prefill=message.prefill,
                decode=message.decode,
                ahead_s=journal.round_to_ms(message.ahead_s),
                wait_s=journal.round_to_ms(message.wait_s),
                reason=message.reason,
                streams=_count_streams(state, message.decode),
                waiting=len(state.queue.waiting),
                open=len(state.assigned),
            )
        case Rejection():
            journal.write_decision(
                'rejected',
                request=_read_request_id(message.key),
                reason=message.message,
                retry_after_s=journal.round_to_ms(message.retry_after_s),
                waiting=len(state.queue.waiting),
                open=len(state.assigned),
            )


def _count_streams(state: SchedulerState, engine: str) -> int:
    """Return the number of streams that are assigned to an engine."""
    return state.placement.load_table.totals(engine).streams


def _read_request_id(key: str) -> str:
    """Return the caller's request id, which is the first part of a key."""
    return key.rsplit('/', 2)[0]
