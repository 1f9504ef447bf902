"""One caller's request and what its sends brought."""

import dataclasses
from collections.abc import Mapping
from typing import Any, final

from verbenahall.authentication import Workspace
from verbenahall.catalog import Route, Service
from verbenahall.platform import Ask


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request with the route that it takes.

    ``received`` is when its head was read and ``deadline`` when its final
    answer is due, in monotonic seconds. ``path`` is the target as it came,
    and ``version`` the manifest's by which it was routed. ``waited_s`` is for
    how long the caller has waited in attempts before this one.
    ``fingerprint`` is the same for each of these attempts. ``workspace`` held
    the request's API key in that version, None if nobody did.
    """

    ask: Ask
    route: Route
    service: Service
    version: int
    method: str
    path: str
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received: float
    deadline: float
    waited_s: float = 0
    fingerprint: str = ''
    workspace: Workspace | None = None

    @property
    def priority(self) -> int:
        """How urgent the request is, 0 first."""
        own = self.workspace.priority if self.workspace else None
        return self.route.priority if own is None else own

    @property
    def due(self) -> float:
        """When a first event is late, in monotonic seconds."""
        return self.received - self.waited_s + self.route.objective_s

    @property
    def leaves(self) -> float:
        """When the caller leaves without a first event."""
        return min(self.deadline, self.received + self.route.patience_s)

    def left_s(self, now: float) -> float:
        """Return how many seconds are left for an answer."""
        return self.deadline - now


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer of an endpoint, to be passed on unchanged."""

    status: int
    reason: str
    headers: Mapping[str, Any]
    body: bytes


@final
class StreamTiming:
    """When a stream's events came: to learn from, and to tell in the log."""

    __slots__ = ('first_at', 'last_at', 'events')

    def __init__(self) -> None:
        """Start before the first event."""
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.events = 0

    def record(self, events: int, now: float) -> float | None:
        """Note new events; return the pause before them, if it is known."""
        before = self.last_at
        self.last_at = now
        self.events += events
        if self.first_at is None:
            self.first_at = now
        return None if before is None else now - before

    def find_step_s(self, event_tokens: int) -> float:
        """Return the time between two tokens, 0 for a single event."""
        if self.events < 2 or self.first_at is None:
            return 0
        tokens = (self.events - 1) * event_tokens
        return (self.last_at - self.first_at) / tokens


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream that was passed on to its proper end, and its pace.

    ``step_s`` is the time between two tokens, 0 if it cannot be told.
    """

    timing: StreamTiming
    step_s: float = 0
