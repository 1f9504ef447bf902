"""Callers' requests once they are read and checked."""

import dataclasses
from typing import Any

from verbenahall.admission import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What every request says by its headers.

    ``received`` is in monotonic seconds. ``key`` is the Idempotency-Key,
    empty for none.
    """

    ticket: Ticket
    key: str
    received: float

    @property
    def request(self) -> str:
        """The identity of the request."""
        return self.ticket.request

    @property
    def deadline(self) -> float:
        """When the caller stops waiting, in monotonic seconds."""
        return self.ticket.deadline


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A request to a model; ``body`` is the caller's own JSON.

    Token counts are estimates from the text's length and ``max_tokens``.
    """

    head: Head
    path: str
    body: bytes
    table: dict[str, Any]
    model: str
    adapter: str
    stream: bool
    prompt_tokens: int
    output_tokens: int
    prefix: str

    @property
    def repeatable(self) -> bool:
        """A call with a key is billed: it runs at most once."""
        return not self.head.key


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service; ``target`` is its raw path and query."""

    head: Head
    service: str
    method: str
    target: str
    body: bytes
    content_type: str
    accept: str
    repeatable: bool


Call = ModelCall | ServiceCall


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer of an endpoint."""

    status: int
    body: bytes
    content_type: str
