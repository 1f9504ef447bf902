"""The parts of a catalog; times in seconds, sizes in bytes."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import final

from verbenahall.authentication import KeyTable


@final
class RouteKind(enum.Enum):
    """Whether requests may be repeated, or are answered by an event stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service of a split route and its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route for requests of one host below one path prefix.

    A caller gets an answer within ``timeout_s``. ``objective_s`` is the latency
    objective to the answer or the first event, ``gap_s`` the longest pause
    between two events that is still on time. Priority 0 is the most urgent.
    Callers of a stream leave after ``abandon_after_s`` without an event. A
    ``public`` route requires no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    gap_s: float = 0
    abandon_after_s: float = float('inf')
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may safely run twice."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_exclusive(self) -> bool:
        """Whether only one attempt at a time may send a request."""
        return not self.repeatable or self.max_attempts <= 1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """The properties that all engines of a model service share.

    ``event_tokens`` is the maximum number of tokens in one event of a stream,
    ``link_bytes_s`` the speed of KV cache transfers between engines in bytes
    per second, ``role_change_s`` how long an engine is unavailable while it
    changes its role.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_s: float
    event_tokens: int
    role_change_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingRules:
    """The limits for the scaling of a service, and the costs of engines.

    ``min_engines`` and ``max_engines`` limit the number of spot and on-demand
    engines together, in each data centre. An engine is ready ``boot_s`` after
    its order. ``spot_share`` is the price of a spot instance as a fraction of
    that of an on-demand one. ``prices`` are relative prices by data centre.
    """

    min_engines: int
    max_engines: int
    boot_s: float
    spot_share: float
    prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that routes refer to; ``engine`` is None for a plain one.

    ``scaling`` is None for a service that is not scaled.
    """

    name: str
    engine: EngineTraits | None = None
    scaling: ScalingRules | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of requests and on the time that callers may idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the manifest; routes by host, then by prefix.

    ``keys`` is None if callers need no API key.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: Limits
    keys: KeyTable | None = None
