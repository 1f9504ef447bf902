"""What the planner of roles is told, and what it answers."""

import dataclasses
from collections.abc import Mapping

from verbenahall.fleet import Role


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What one engine can do, in tokens a second at a full batch.

    ``mixed_prefill`` and ``mixed_decode`` are the shares of these rates at
    which a mixed engine does the one or the other. ``change_s`` is how long a
    role change takes the engine away, with the time that it needs to run
    empty before.
    """

    prefill_tokens_s: float
    decode_tokens_s: float
    mixed_prefill: float = 0.8
    mixed_decode: float = 1.0
    change_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Arriving work in tokens a second; ``age_s`` since the last arrival."""

    prefill_tokens_s: float
    decode_tokens_s: float
    age_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineNow:
    """One live engine of the pool: its role and how many requests it runs."""

    name: str
    role: Role
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Engines in each role."""

    prefill: int
    decode: int
    mixed: int

    @property
    def total(self) -> int:
        """All engines of the pool."""
        return self.prefill + self.decode + self.mixed

    def changes_to(self, other: 'Counts') -> int:
        """Count the engines that must change for ``other``, equal in total."""
        differences = (
            abs(self.prefill - other.prefill),
            abs(self.decode - other.decode),
            abs(self.mixed - other.mixed),
        )
        return sum(differences) // 2


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The pool as its planner sees it at one moment.

    ``change_weight`` over ``goodput_weight`` says how dear a role change is
    to this deployment; ``floor`` engines always stay able to decode.
    """

    pool: str
    demand: Demand
    engines: tuple[EngineNow, ...]
    goodput_weight: float = 1.0
    change_weight: float = 1.0
    floor: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The wanted role of each engine, and why."""

    roles: Mapping[str, Role]
    changes: int
    reason: str
    regret: float
    cost: float
