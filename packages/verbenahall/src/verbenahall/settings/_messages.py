"""Data classes for publications, verdicts and the settings in force."""

import dataclasses
import enum
from typing import Any, final


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSettings:
    """A model.

    ``floor`` is the minimum number of engines that can serve the model in each
    data centre that has a pool with it. ``weight_gb`` is how many gigabytes an
    engine fetches to load it.
    """

    name: str
    version: str
    floor: int
    weight_gb: float
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterSettings:
    """An adapter of a model."""

    name: str
    model: str
    version: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Engines of one data centre that hold the same models and adapters.

    ``prefill`` and ``decode`` are the numbers of engines in these roles; the
    others are mixed. With ``automatic`` the planner chooses the numbers.
    """

    name: str
    data_centre: str
    engines: tuple[str, ...]
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    prefill: int
    decode: int
    automatic: bool
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceSettings:
    """A workspace's limits.

    ``share`` is its weight relative to other workspaces, ``queue`` the
    maximum number of its waiting requests.
    """

    name: str
    share: float
    queue: int
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """An endpoint that gets no new work while this entry exists."""

    endpoint: str
    reason: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A plain service and the HTTP methods that may be retried on it."""

    name: str
    repeatable: tuple[str, ...]
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Weights of goodput and of role changes in a team's role planner."""

    goodput_weight: float
    change_weight: float


class EffectiveSettings:
    """All settings in force, by name; ``planner`` by team.

    Each accepted record changes the object in place. Values that must be
    consistent with each other are read without an ``await`` in between.
    """

    __slots__ = (
        'adapters',
        'drains',
        'models',
        'planner',
        'pools',
        'services',
        'workspaces',
    )

    def __init__(self) -> None:
        """Create empty tables."""
        self.models: dict[str, ModelSettings] = {}
        self.adapters: dict[str, AdapterSettings] = {}
        self.pools: dict[str, PoolSettings] = {}
        self.workspaces: dict[str, WorkspaceSettings] = {}
        self.drains: dict[str, DrainSettings] = {}
        self.services: dict[str, ServiceSettings] = {}
        self.planner: dict[str, PlannerSettings] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The new value of one path; ``None`` removes the entry.

    ``base`` is the offset of the last accepted change to the path that the
    author knew, or 0 if there was none. A change on an older base is refused.
    """

    path: str
    base: int
    value: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Changes published in one record; all are applied, or none."""

    team: str
    author: str
    changes: tuple[Change, ...]


@final
class RefusalKind(enum.Enum):
    """Why a publication was refused; the value is sent on the wire."""

    MALFORMED = 'malformed'
    OUTSIDE_SUBTREE = 'outside_subtree'
    STALE_BASE = 'stale_base'
    INVALID_VALUE = 'invalid_value'
    NAME_TAKEN = 'name_taken'
    MISSING_REFERENCE = 'missing_reference'
    IN_USE = 'in_use'
    ENGINE_CLAIMED = 'engine_claimed'
    TOO_MANY_ROLES = 'too_many_roles'
    FOREIGN_ENGINE = 'foreign_engine'
    BELOW_FLOOR = 'below_floor'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a publication was refused.

    ``message`` is a sentence for the author; ``winner`` is the offset of the
    earlier change with which the publication conflicts, or 0.
    """

    kind: RefusalKind
    message: str
    winner: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of the record at ``offset``: accepted or refused."""

    offset: int
    identity: str
    team: str
    author: str
    paths: tuple[str, ...]
    refusal: Refusal | None = None

    @property
    def accepted(self) -> bool:
        """Whether the changes are in force from this offset on."""
        return self.refusal is None
