"""Data classes of endpoints that several packages share."""

import dataclasses
import enum
from typing import final


@final
class EndpointKind(enum.Enum):
    """The kind of process at an address."""

    ENGINE = 'engine'
    SERVICE = 'service'
    INSTANCE = 'instance'


@final
class Role(enum.Enum):
    """Which phases of a model request an engine executes."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@final
class EndpointStatus(enum.Enum):
    """Whether an endpoint may get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A process in the platform's instance list that takes calls.

    ``incarnation`` differs between processes that had the same name or
    address. ``service`` is the name that callers use under ``/services``.
    ``checks_fencing`` is whether the endpoint refuses orders with an old token.
    """

    name: str
    kind: EndpointKind
    address: str
    data_centre: str
    incarnation: str
    service: str = ''
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A version of an adapter of a model."""

    name: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The role, models and adapters that an engine should have.

    A target is the complete desired state, so that an order may be repeated.
    ``models`` holds pairs of a model's name and its version.
    """

    role: Role
    models: tuple[tuple[str, str], ...] = ()
    adapters: tuple[Adapter, ...] = ()
