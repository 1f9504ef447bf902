"""What the decisions need to know of a waiting request."""

import enum
from typing import Protocol, final


@final
class Turn(enum.IntEnum):
    """Whether a caller was refused before, and whether it returns as told."""

    #: It returns at the time that it was given, or later.
    RETURNED = 0
    #: It is new, or its refusal gave it no place.
    ORDINARY = 1
    #: It returns before the time that it was given.
    EARLY = 2


@final
class Stage(enum.IntEnum):
    """Stages of the order within a priority; the lowest is served first."""

    RETURNED = 0
    ON_TIME = 1
    #: It could be on time alone, but others are served first.
    LEFT_OUT = 2
    LATE = 3
    EARLY = 4


#: Sort key of a queue: priority, beyond share, stage, not returning, due time.
Rank = tuple[int, bool, Stage, bool, float]


class Source(Protocol):
    """Where a request comes from; an empty text means unknown."""

    fingerprint: str
    caller: str
    workspace: str
    route: str
    instance: str
    data_centre: str


class Candidate(Protocol):
    """A waiting request; times are monotonic seconds.

    ``expected_first_s`` is the expected time to its first event if its prefill
    begins at once, ``prefill_s`` the part of it for which an engine works, and
    ``planned_engine`` the engine that prefills by its last plan. ``tried`` and
    ``unavailable`` name engines that don't take it. ``rank`` is set by
    ``rank_candidates``.
    """

    priority: int
    beyond_share: bool
    due_at: float
    leaves_at: float
    returning: bool
    turn: Turn
    expected_first_s: float
    prefill_s: float
    planned_engine: str
    tried: frozenset[str]
    unavailable: frozenset[str]
    source: Source
    rank: Rank
