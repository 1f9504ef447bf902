"""Publications, verdicts and the settings in force."""

import dataclasses
import enum
from typing import Any, final


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSettings:
    """A model: ``floor`` engines stay able to serve it in a data centre."""

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

    ``prefill`` and ``decode`` count engines of these roles; the rest are
    mixed. With ``automatic`` the planner chooses the counts.
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
    """A workspace's weight among others and its bound on waiting requests."""

    name: str
    share: float
    queue: int
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """An endpoint that gets no new work while this entry stands."""

    endpoint: str
    reason: str
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A plain service and the HTTP methods that may be repeated on it."""

    name: str
    repeatable: tuple[str, ...]
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """What a team's planner weighs: goodput against role changes."""

    goodput_weight: float
    change_weight: float


class EffectiveSettings:
    """Everything in force, by name; ``planner`` by team.

    One object lives as long as its state and changes in place with each
    accepted record, so read it without an ``await`` in between.
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
        """Start with nothing published."""
        self.models: dict[str, ModelSettings] = {}
        self.adapters: dict[str, AdapterSettings] = {}
        self.pools: dict[str, PoolSettings] = {}
        self.workspaces: dict[str, WorkspaceSettings] = {}
        self.drains: dict[str, DrainSettings] = {}
        self.services: dict[str, ServiceSettings] = {}
        self.planner: dict[str, PlannerSettings] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One path's new value; ``None`` removes it.

    ``base`` is the offset of the last accepted change to the path that the
    author had seen, 0 for none.
    """

    path: str
    base: int
    value: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """What one record asks for: all of its changes, or none."""

    team: str
    author: str
    changes: tuple[Change, ...]


@final
class RefusalKind(enum.Enum):
    """Why a publication was refused; the value is the word on the wire."""

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
    """Why, in a sentence, and the offset of the change that won (or 0)."""

    kind: RefusalKind
    message: str
    winner: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of the record at ``offset``."""

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
