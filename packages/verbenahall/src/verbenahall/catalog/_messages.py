"""What operators publish for the request path; seconds and bytes."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import final

from verbenahall.authentication import KeyTable


@final
class Kind(enum.Enum):
    """What may be repeated, and whether the answer is a stream of events."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One service of a split route and its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    ``timeout_s`` is the longest time that a caller is kept waiting,
    ``objective_s`` the latency objective to the answer or the first event,
    ``gap_s`` the longest pause between two events that is still on time.
    ``priority`` is 0 for the most urgent. ``patience_s`` is how long callers
    of a stream wait for an event before they leave. A ``public`` route asks for
    no API key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    gap_s: float = 0
    patience_s: float = float('inf')
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether running a request twice harms nobody."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """What all engines of a model service have in common.

    ``event_tokens`` is how many tokens one event of a stream holds at most,
    ``link_bytes_s`` the speed at which KV cache moves between engines,
    ``role_change_s`` how long a change of role takes an engine away.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_s: float
    event_tokens: int
    role_change_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingRules:
    """Within which bounds a service is scaled, and what its engines cost.

    ``least`` and ``most`` bound both kinds together, in each data centre. An
    engine serves ``boot_s`` after its order. ``spot_share`` is the price of a
    spot instance as a share of that of an on-demand one; ``prices`` are those
    of the data centres, in units of each other.
    """

    least: int
    most: int
    boot_s: float
    spot_share: float
    prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service behind routes; ``engine`` is None for a plain one.

    ``scaling`` is None for a service whose endpoints are not ordered.
    """

    name: str
    engine: EngineTraits | None = None
    scaling: ScalingRules | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers may send, and how long they may be idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the manifest; routes by host, then by prefix.

    ``keys`` is None where callers need no API key.
    """

    version: int
    routes: Mapping[str, Mapping[str, Route]]
    services: Mapping[str, Service]
    limits: Limits
    keys: KeyTable | None = None
