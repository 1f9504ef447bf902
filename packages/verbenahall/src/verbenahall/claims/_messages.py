"""Verdicts, batches and timing of claims."""

import dataclasses
from typing import Any, Final, Protocol

from returns.result import Result

from verbenahall.errors import Problem

#: Keys per generation of the fold, of which two are kept. The fold depends on
#: it, so all instances of a deployment must use the same number.
KEYS_PER_GENERATION: Final = 25_000


class Appender(Protocol):
    """The part of the log client that is used here."""

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append one record; return its offset."""


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This process's claim on the key came first; its request may run."""

    key: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Another claim on the key came first, at ``offset``."""

    key: str
    offset: int


Verdict = Won | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Contents of one record to append.

    ``freed`` holds released claims as pairs of key and offset: won claims
    under which no request has run or will run.
    """

    keys: tuple[str, ...]
    freed: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsTiming:
    """Rate of appends and timeouts of claims.

    ``appends_per_s`` and ``burst`` limit this process's share of the log's
    rate, ``keys_at_once`` the size of a batch. ``append_timeout_s`` is the
    timeout of one append, ``verdict_timeout_s`` that of a whole claim. For
    ``refuse_s`` after a failed append, claims are rejected at once.
    """

    appends_per_s: float = 20.0
    burst: float = 5.0
    append_timeout_s: float = 1.0
    verdict_timeout_s: float = 2.0
    refuse_s: float = 0.5
    keys_at_once: int = 500


DEFAULT_TIMING: Final = ClaimsTiming()
