"""A caller's request and the answers to its sends."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Final, final

from verbenahall.buffers import HeldBytes
from verbenahall.authentication import Workspace
from verbenahall.catalog import Route, Service
from verbenahall.forwarding import Hop
from verbenahall.gateway._channels import CallerChannel
from verbenahall.placement import RequestSource
from verbenahall.platform import RequestHead

#: Bytes of the digest of an API key by which its requests are counted.
_CALLER_BYTES: Final = 8
#: Most by which the event loop's timers fire early, in seconds: uvloop rounds
#: to milliseconds.
_MAX_EARLY_S: Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request and its route.

    ``received`` is when its head was read and ``deadline`` when its final
    answer is due, in monotonic seconds. ``path`` is the request target as it
    was received, ``version`` the version of the manifest that routed it.
    ``waited_s`` is the estimated time that the caller has waited in earlier
    attempts, in seconds. ``fingerprint`` is the same for all attempts at a
    request. ``workspace`` is the holder of the request's API key in that
    version, None if no workspace holds it. ``hop`` is what the instance that
    forwarded the request states about it, None if it came from its caller.
    ``is_counted`` is whether the retry budget counts it as a request.
    ``part_keys`` identify the parts of its prompt that other requests share.
    ``channel`` is the connection that it came on.
    """

    head: RequestHead
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
    hop: Hop | None = None
    is_counted: bool = False
    part_keys: tuple[str, ...] = ()
    channel: CallerChannel | None = None

    async def end_if_left(self, step: str) -> None:
        """Cancel the request before a step if its caller has left."""
        if self.channel is not None:
            await self.channel.end_if_closed(self.head.identity, step)

    @property
    def quarantine_keys(self) -> tuple[str, ...]:
        """The keys under which crashes are counted against this request."""
        return (self.fingerprint, *self.part_keys)

    def describe_source(self, instance: str, data_centre: str) -> RequestSource:
        """Return where the request comes from; an instance has accepted it."""
        return RequestSource(
            self.fingerprint,
            self.head.key[:_CALLER_BYTES].hex(),
            self.workspace.name if self.workspace else '',
            self.route.name,
            instance,
            data_centre,
        )

    @property
    def priority(self) -> int:
        """The workspace's priority, or else the route's; 0 is the highest."""
        own = self.workspace.priority if self.workspace else None
        return self.route.priority if own is None else own

    @property
    def due_at(self) -> float:
        """When the first event is past its objective, in monotonic seconds.

        A stream that its caller takes up has had its first event.
        """
        waited_s = 0 if self.takes_up else self.waited_s
        return self.received - waited_s + self.route.objective_s

    @property
    def takes_up(self) -> bool:
        """Whether the caller takes up a stream that has begun."""
        return self.head.last_event is not None

    @property
    def returning(self) -> bool:
        """Whether the caller has tried before."""
        return self.takes_up or self.waited_s > 0

    @property
    def leaves_at(self) -> float:
        """When the caller leaves if no event came, in monotonic seconds."""
        return min(self.deadline, self.received + self.route.abandon_after_s)

    def left_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - now

    def is_over(self, now: float) -> bool:
        """Whether a timer that is set to the deadline may have fired."""
        return now >= self.deadline - _MAX_EARLY_S


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer of an endpoint, to be returned unchanged.

    ``held`` counts the bytes of its body while they are referenced.
    """

    status: int
    reason: str
    headers: Mapping[str, Any]
    body: bytes
    held: HeldBytes | None = None


@final
class StreamTiming:
    """Times of a stream's events, for estimates and for the log."""

    __slots__ = ('first_at', 'last_at', 'events')

    def __init__(self) -> None:
        """Start before the first event."""
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.events = 0

    def record(self, events: int, now: float) -> float | None:
        """Record new events; return the time since the last ones.

        None before the first event.
        """
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
    """A stream that was relayed to its normal end, and its timing.

    ``step_s`` is the time between two tokens, 0 if it is unknown.
    """

    timing: StreamTiming
    step_s: float = 0
