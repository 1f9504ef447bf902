"""How an attempt may end, and what may follow."""

import dataclasses
import itertools
from typing import final

from verbenahall.errors import Problem


@final
class AttemptNames:
    """Makes identities that are never used again.

    The incarnation is drawn anew by each process, so a restarted instance
    cannot meet an answer to an attempt of the one before.
    """

    __slots__ = ('_prefix', '_numbers')

    def __init__(self, incarnation: str) -> None:
        """Start counting under an incarnation."""
        self._prefix = incarnation
        self._numbers = itertools.count(1)

    def next_name(self) -> str:
        """Return a new identity."""
        number = next(self._numbers)
        return f'{self._prefix}-{number:x}'


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What is known of a request when one of its attempts has failed.

    ``repeatable`` means that running it twice harms nobody. ``delivered``
    means that a byte of its answer has reached the caller, ``resumable``
    that an endpoint is left which goes on from there. ``unknown`` means that
    an earlier attempt may have run, ``urgent`` that it is a flag. ``runs``
    counts the attempts that may have run, of which ``most_runs`` are allowed
    (0 for no bound of its own). ``resends`` is how many sends another attempt
    takes.
    """

    repeatable: bool
    deadline: float
    attempts: int
    delivered: bool = False
    resumable: bool = False
    unknown: bool = False
    urgent: bool = False
    runs: int = 0
    most_runs: int = 0
    resends: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a pause in seconds."""

    delay_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this problem now."""

    problem: Problem
