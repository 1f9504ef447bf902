"""How the answers to accepted requests ended, for the log and the metrics."""

import asyncio
import enum
from typing import Final, final

from aiohttp import web

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._messages import Call
from verbenahall.requests import Broken, Outcome


@final
class AnswerEnd(enum.Enum):
    """The end of an answer.

    ``WHOLE`` is an endpoint's answer that was passed on to its last byte, and
    ``REFUSED`` an answer of this instance that the request has not run. All
    others are failures: ``BROKEN_OFF`` by the endpoint, ``CUT_OFF`` by this
    instance while the endpoint might have gone on, ``DEADLINE`` at the end of
    the request's time, and ``CALLER_LEFT`` by the caller.
    """

    WHOLE = 'whole'
    REFUSED = 'refused'
    BROKEN_OFF = 'broken_off'
    CUT_OFF = 'cut_off'
    DEADLINE = 'deadline'
    CALLER_LEFT = 'caller_left'


#: Labels of the metric: whether a part of the answer was sent.
_BEGUN: Final = 'begun'
_UNANSWERED: Final = 'unanswered'


def classify_given_up(problem: Problem, failure: Outcome | None) -> AnswerEnd:
    """Return the end of an answer that is given up for ``problem``.

    ``failure`` is the last failure of an attempt that may have run, None if no
    attempt has.
    """
    if problem.kind is ErrorKind.DEADLINE_EXCEEDED:
        return AnswerEnd.DEADLINE
    if problem.answer.ran is Ran.NO:
        return AnswerEnd.REFUSED
    match failure:
        case Broken(silent=False):
            return AnswerEnd.BROKEN_OFF
        case _:
            return AnswerEnd.CUT_OFF


def classify_exception(
    call: Call,
    request: web.Request,
    error: BaseException,
    now: float,
    *,
    is_cut: bool,
) -> AnswerEnd:
    """Return the end of an answer whose handler has raised ``error``.

    ``is_cut`` is whether this instance cancels its remaining requests. A
    cancellation that isn't the handler's own comes from something it awaits. A
    caller that does not read makes a write fail at the deadline.
    """
    if isinstance(error, asyncio.CancelledError):
        is_foreign = not asyncio.current_task().cancelling()
        return (
            AnswerEnd.CUT_OFF if is_cut or is_foreign else AnswerEnd.CALLER_LEFT
        )
    transport = request.transport
    if transport is None or transport.is_closing():
        return AnswerEnd.CALLER_LEFT
    return AnswerEnd.DEADLINE if call.is_over(now) else AnswerEnd.CUT_OFF


def record_end(
    call: Call,
    request: web.Request,
    outcome: str,
    end: AnswerEnd,
    took_s: float,
    *,
    reason: str | None = None,
) -> None:
    """Log and count the end of an answer; ``reason`` says why it failed."""
    writer = request.writer
    begun = _BEGUN if writer.output_size else _UNANSWERED
    journal.write_decision(
        'answered',
        request=call.head.identity,
        outcome=outcome,
        end=end.value,
        begun=begun == _BEGUN,
        reason=reason,
        took_s=journal.round_to_ms(took_s),
    )
    metrics.REQUESTS.add(str(call.priority), outcome)
    metrics.ANSWER_ENDS.add(end.value, begun)
