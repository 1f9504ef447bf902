"""What the log's answers and errors tell about a request."""

import dataclasses
from typing import Any, Final

from returns.result import Failure

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.log._messages import (
    MAX_RECORD_BYTES,
    AnswerLost,
    Outcome,
    Refused,
)

_BUSY: Final = 429
_DOWN: Final = 503
_TOO_LARGE: Final = 413


def classify_status(status: int) -> Outcome:
    """Say what a status other than 200 tells about the append."""
    if status == _TOO_LARGE:
        return Refused(Problem(ErrorKind.TOO_LARGE, 'the log refused its size'))
    problem = build_unavailable(f'answered {status}', Ran.UNKNOWN)
    if status in {_BUSY, _DOWN}:
        refusal = dataclasses.replace(problem, ran=Ran.NO)
        return Refused(refusal, retryable=status == _BUSY)
    return AnswerLost(problem)


def decode_answer(body: bytes) -> dict[str, Any]:
    """Decode an answer; raise ``ValueError`` on another shape."""
    table = wire.decode_table(body)
    if isinstance(table, Failure):
        raise ValueError(table.failure().message)
    return table.unwrap()


def describe_error(error: Exception) -> str:
    """Return an error in words; some have none of their own."""
    return str(error) or type(error).__name__


def build_too_large(payload: bytes) -> Problem:
    """Say that a record is over the limit."""
    return Problem(
        ErrorKind.TOO_LARGE,
        f'record of {len(payload)} bytes; the most is {MAX_RECORD_BYTES}',
    )


def build_unavailable(reason: str, ran: Ran) -> Problem:
    """Return the problem of a log that did not do what was asked."""
    return Problem(ErrorKind.LOG_UNAVAILABLE, f'log: {reason}', ran)
