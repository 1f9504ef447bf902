"""Messages of the rollout slice."""

import dataclasses
import enum
from typing import final

from verbenahall.fleet import Target
from verbenahall.orders import PlannedOrder


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """What the planner knows of one engine.

    ``reachable`` says that it may get new work as far as membership knows.
    ``pending`` is the target of an order that is not done yet and
    ``running`` says that its change has begun. ``resting`` keeps an engine
    that failed or refused a change out of the plan for a while. ``just_changed``
    says that its change ended so short a time ago that other instances may
    not know it yet.
    """

    name: str
    incarnation: str
    holding: Target
    reachable: bool = True
    pending: Target | None = None
    running: bool = False
    resting: bool = False
    just_changed: bool = False

    @property
    def changing(self) -> bool:
        """Whether the engine is kept from new work by a change."""
        return self.running or self.pending is not None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """How many engines of a data centre may change at once.

    ``loads`` bounds those that fetch weights and ``changes`` all of them.
    The weight store's rate is shared, so more loads at once only keep every
    one of these engines away for longer; a few hide the time that engines
    take to run empty.
    """

    loads: int = 3
    changes: int = 6


@final
class Reason(enum.Enum):
    """Why an engine that should change does not change yet."""

    FLOOR = 'floor'
    LOADS = 'loads'
    CHANGES = 'changes'
    UNREACHABLE = 'unreachable'
    RUNNING = 'running'
    RESTING = 'resting'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An engine that waits; ``model`` is set where a floor holds it back."""

    engine: str
    reason: Reason
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """What to record now, and what has to wait for which reason."""

    orders: tuple[PlannedOrder, ...]
    waiting: tuple[Waiting, ...]
