"""What the claims fold hears and says."""

import dataclasses
from typing import Any, Final, Protocol

from returns.result import Result

from verbenahall.errors import Problem

#: Keys kept per generation of the fold; two generations are kept. Part of
#: the fold: all instances of a deployment use the same number.
KEYS_PER_GENERATION: Final = 25_000


class Appender(Protocol):
    """The part of the log client that claims use."""

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append one record; return its offset."""


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This process's claim is the first of its key: it alone may run."""

    key: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Another claim of the key came first, at ``offset``."""

    key: str
    offset: int


Verdict = Won | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One record to append.

    ``freed`` holds won claims, as key and offset, whose request surely
    never ran and never will under that claim.
    """

    keys: tuple[str, ...]
    freed: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsTiming:
    """How often records are appended and how long a claim may take.

    ``appends_per_s`` and ``burst`` bound this process's share of the log's
    rate. ``append_timeout_s`` bounds one append, ``verdict_timeout_s`` a
    whole claim. For ``refuse_s`` after a failed append claims are refused
    at once.
    """

    appends_per_s: float = 20.0
    burst: float = 5.0
    append_timeout_s: float = 1.0
    verdict_timeout_s: float = 2.0
    refuse_s: float = 0.5
    keys_at_once: int = 500


DEFAULT_TIMING: Final = ClaimsTiming()
