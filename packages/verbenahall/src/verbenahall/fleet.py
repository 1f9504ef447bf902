"""Words about endpoints that several slices share."""

import dataclasses
import enum
from typing import final


@final
class EndpointKind(enum.Enum):
    """What answers at an address."""

    ENGINE = 'engine'
    SERVICE = 'service'
    INSTANCE = 'instance'


@final
class Role(enum.Enum):
    """Which part of a model request an engine takes."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@final
class Standing(enum.Enum):
    """Whether an endpoint may get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One process that can be called, as the platform's list names it.

    ``incarnation`` changes when another process takes over the name or the
    address. ``service`` is the name that callers use under ``/services``.
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
    """An adapter of a model at a version."""

    name: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What an engine should hold: absolute, so sending it twice is harmless.

    ``models`` maps each model's name to its version.
    """

    role: Role
    models: tuple[tuple[str, str], ...] = ()
    adapters: tuple[Adapter, ...] = ()
