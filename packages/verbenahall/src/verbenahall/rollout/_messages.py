"""Input and results of the rollout plan."""

import dataclasses
import enum
from typing import final

from verbenahall.fleet import Target
from verbenahall.orders import PlannedOrder


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """State of one engine as the planner sees it.

    ``reachable`` is true if the engine may get requests according to
    membership. ``pending`` is the target of an outstanding order, and
    ``running`` is true once its change has started. ``resting`` keeps an
    engine out of the plan for a while after it failed or rejected a change.
    ``just_changed`` is true if a change ended so recently that other
    instances may not have read it yet.
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
        """Whether the engine gets no requests because of a change."""
        return self.running or self.pending is not None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutLimits:
    """How many engines of a data centre may change at once.

    ``loads`` bounds the changes that fetch weights, ``changes`` all of them.
    Loading engines share the weight store's rate, so more loads at once only
    make each of them unavailable for longer. A few at once use the rate also
    while other engines drain.
    """

    loads: int = 3
    changes: int = 6


@final
class Reason(enum.Enum):
    """Why a change of an engine does not start yet."""

    FLOOR = 'floor'
    LOADS = 'loads'
    CHANGES = 'changes'
    UNREACHABLE = 'unreachable'
    RUNNING = 'running'
    RESTING = 'resting'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An engine whose change waits; ``model`` is set if a floor is why."""

    engine: str
    reason: Reason
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Orders to record now, and the engines that wait, with the reason."""

    orders: tuple[PlannedOrder, ...]
    waiting: tuple[Waiting, ...]
