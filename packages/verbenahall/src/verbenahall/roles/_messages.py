"""Inputs and results of the role planner."""

import dataclasses
from collections.abc import Mapping

from verbenahall.fleet import Role


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """The throughput of one engine in tokens per second at a full batch.

    ``mixed_prefill`` and ``mixed_decode`` are the fractions of these rates
    that a mixed engine reaches when it does only prefill or only decode.
    ``change_s`` is how long a role change makes the engine unavailable,
    including the time to drain it.
    """

    prefill_tokens_s: float
    decode_tokens_s: float
    mixed_prefill: float = 0.8
    mixed_decode: float = 1.0
    change_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Arriving work in tokens per second.

    ``age_s`` is the time since the last arrival.
    """

    prefill_tokens_s: float
    decode_tokens_s: float
    age_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """A live engine of the pool, its role and its running requests."""

    name: str
    role: Role
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """The number of engines in each role."""

    prefill: int
    decode: int
    mixed: int

    @property
    def total(self) -> int:
        """Return the number of engines in the pool."""
        return self.prefill + self.decode + self.mixed

    def changes_to(self, other: 'Counts') -> int:
        """Return how many engines change roles to reach ``other``.

        Both must have the same total.
        """
        differences = (
            abs(self.prefill - other.prefill),
            abs(self.decode - other.decode),
            abs(self.mixed - other.mixed),
        )
        return sum(differences) // 2


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The state of a pool at one step of the planner.

    The cost of a role change is multiplied by ``change_weight`` over
    ``goodput_weight``. At least ``floor`` engines stay able to decode.
    """

    pool: str
    demand: Demand
    engines: tuple[EngineStatus, ...]
    goodput_weight: float = 1.0
    change_weight: float = 1.0
    floor: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The target role of each engine.

    ``changes`` is the number of engines whose role differs from the current
    one. ``regret`` and ``cost`` are the engine-seconds that were compared.
    """

    roles: Mapping[str, Role]
    changes: int
    reason: str
    regret: float
    cost: float
