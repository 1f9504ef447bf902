"""Identities of attempts, and the decision that follows a failed one."""

import dataclasses
import itertools
from typing import final

from verbenahall.errors import Problem


@final
class AttemptIds:
    """Generates IDs that are unique across restarts.

    Each process draws a new incarnation, so a restarted instance does not
    mistake an answer to its predecessor's attempt for one to its own.
    """

    __slots__ = ('_prefix', '_numbers')

    def __init__(self, incarnation: str) -> None:
        """Start at 1 within an incarnation."""
        self._prefix = incarnation
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return a new ID."""
        number = next(self._numbers)
        return f'{self._prefix}-{number:x}'


@dataclasses.dataclass(frozen=True, slots=True)
class RetryContext:
    """The state of a request after one of its attempts failed.

    ``repeatable`` means that it is safe to run the request twice.
    ``deadline`` is a time on the clock that ``decide_retry`` gets. ``attempts``
    counts the attempts so far. ``delivered`` means that at least one byte of
    the answer has reached the caller, ``resumable`` that another endpoint can
    continue the answer from there. ``may_have_run_before`` means that an
    earlier attempt may have run, ``urgent`` that the request has the highest
    priority. ``runs`` counts the attempts that may have run, and ``max_runs``
    limits them (0 for no limit). ``send_count`` is the number of sends that a
    retry takes. ``is_left_to_other`` means that another open attempt at the
    request decides on retries.
    """

    repeatable: bool
    deadline: float
    attempts: int
    delivered: bool = False
    resumable: bool = False
    may_have_run_before: bool = False
    urgent: bool = False
    runs: int = 0
    max_runs: int = 0
    send_count: int = 1
    is_left_to_other: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send another attempt after ``delay_s`` seconds."""

    delay_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this problem now."""

    problem: Problem
