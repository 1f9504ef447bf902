"""One caller's request and what its sends brought."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from verbenahall.catalog import Route, Service
from verbenahall.platform import Ask


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request with the route that it takes.

    ``received`` is when its head was read and ``deadline`` when its final
    answer is due, in monotonic seconds. ``path`` is the target as it came.
    """

    ask: Ask
    route: Route
    service: Service
    method: str
    path: str
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received: float
    deadline: float

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


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream that was passed on to its proper end."""
