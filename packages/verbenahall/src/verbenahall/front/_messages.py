"""Callers' requests after parsing and validation."""

import dataclasses
from typing import Any

from verbenahall.buffers import HeldBytes
from verbenahall.admission import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The headers that all kinds of requests share.

    ``received_at`` is in monotonic seconds. ``key`` is the Idempotency-Key,
    or empty text.
    """

    ticket: Ticket
    key: str
    received_at: float

    @property
    def request(self) -> str:
        """The request ID."""
        return self.ticket.request

    @property
    def deadline(self) -> float:
        """When the caller stops waiting, in monotonic seconds."""
        return self.ticket.deadline


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A request to a model.

    ``body`` is the JSON as received and ``table`` the decoded object. The
    token counts are estimates from the length of the text and ``max_tokens``.
    ``prefix`` is a hash of the start of a long prompt, or empty text.
    """

    head: RequestHead
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
        """Whether it may run twice; a call with a key is billed and may not."""
        return not self.head.key

    @property
    def target_name(self) -> str:
        """The name by which times of such requests are compared."""
        return f'model:{self.model}'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service; ``target`` is its raw path and query."""

    head: RequestHead
    service: str
    method: str
    target: str
    body: bytes
    content_type: str
    accept: str
    repeatable: bool

    @property
    def target_name(self) -> str:
        """The name by which times of such requests are compared."""
        return f'service:{self.service}'


Call = ModelCall | ServiceCall


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer of an endpoint.

    ``held`` counts the bytes of its body while they are referenced.
    """

    status: int
    body: bytes
    content_type: str
    held: HeldBytes | None = None
