"""Interprets the log's answers and errors."""

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
    """Return the outcome of an append with a status other than 200."""
    if status == _TOO_LARGE:
        return Refused(
            Problem(
                ErrorKind.TOO_LARGE, 'the log refused a record of this size'
            )
        )
    problem = build_unavailable(f'answered {status}', Ran.UNKNOWN)
    if status in {_BUSY, _DOWN}:
        refusal = dataclasses.replace(problem, ran=Ran.NO)
        return Refused(refusal, retryable=status == _BUSY)
    return AnswerLost(problem)


def decode_answer(body: bytes) -> dict[str, Any]:
    """Decode a JSON answer; raise ``ValueError`` if it is invalid."""
    table = wire.decode_table(body)
    if isinstance(table, Failure):
        raise ValueError(table.failure().message)
    return table.unwrap()


def describe_error(error: Exception) -> str:
    """Return an error's message, or its class name if that is empty."""
    return str(error) or type(error).__name__


def build_too_large(payload: bytes) -> Problem:
    """Return the problem of a record that is over the limit."""
    return Problem(
        ErrorKind.TOO_LARGE,
        f'record of {len(payload)} bytes; the limit is {MAX_RECORD_BYTES}',
    )


def build_unavailable(reason: str, ran: Ran) -> Problem:
    """Return the problem of a request to the log that failed."""
    return Problem(ErrorKind.LOG_UNAVAILABLE, f'log: {reason}', ran)
