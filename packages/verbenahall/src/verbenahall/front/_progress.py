"""The progress of a request over its attempts."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol, TypeVar, final

from returns.result import Result

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Endpoint
from verbenahall.front._connections import has_peer_closed
from verbenahall.front._fleet import get_requirement
from verbenahall.front._messages import Call, ModelCall
from verbenahall.requests import Outcome
from verbenahall.routing import RoutingRequest

#: Output tokens of a typical request, the unit of work.
_TYPICAL_TOKENS: Final = 512
_MIN_WORK: Final = 0.25
_MAX_WORK: Final = 8.0
#: Prompt tokens that an engine prefills in the time it decodes one token.
_PREFILL_TOKENS_PER_OUTPUT_TOKEN: Final = 16

Sent = TypeVar('Sent', covariant=True)
Forwarded = Result[Any, Outcome]
ForwardCall = Callable[[], Coroutine[Any, Any, Forwarded]]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedAttempt:
    """An attempt with its endpoint; ``remaining_s`` is until the deadline."""

    endpoint: Endpoint
    attempt: str
    remaining_s: float


class Sender(Protocol[Sent]):
    """Sends one kind of request in the protocol of its endpoints."""

    async def send(self, placed: PlacedAttempt) -> Result[Sent, Outcome]:
        """Run one attempt to its end."""

    def cancel(self, placed: PlacedAttempt) -> None:
        """Cancel the work of an abandoned attempt."""


@final
class Progress:
    """The progress of one request over its attempts.

    ``delivered_tokens`` counts the tokens sent to the caller, and ``version``
    is the model version that produced them. ``claim_offset`` is the offset of
    the record that claimed the request's key, or None. ``may_have_run`` means
    that an earlier attempt ended with an unknown outcome. ``is_counted`` means
    that the request was counted as demand, and ``begun_at_peer`` that a part of
    its answer came from a peer. ``claim(attempt)`` makes an open attempt the
    only one, and ``forward()`` lets a peer serve the request; None if none may.
    """

    __slots__ = (
        'call',
        'requirement',
        'attempts',
        'excluded',
        'needs_claim',
        'claim_offset',
        'may_have_run',
        'delivered_tokens',
        'version',
        'is_counted',
        'begun_at_peer',
        'forward',
        'claim',
        'transport',
    )

    def __init__(self, call: Call) -> None:
        """Start without attempts."""
        self.call = call
        self.requirement = get_requirement(call)
        #: The caller's connection, None if it is not watched.
        self.transport: asyncio.Transport | None = None
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.needs_claim = bool(call.head.key) and not call.repeatable
        self.claim_offset: int | None = None
        self.may_have_run = False
        self.delivered_tokens = 0
        self.version = ''
        self.is_counted = False
        self.begun_at_peer = False
        self.forward: ForwardCall | None = None
        self.claim: Callable[[str], None] = _claim_nothing

    @property
    def has_left(self) -> bool:
        """Whether the caller has closed its connection.

        A late event loop has not read that yet.
        """
        return self.transport is not None and has_peer_closed(self.transport)

    @property
    def may_leave(self) -> bool:
        """Whether a peer may serve the request though it may have run here."""
        return (
            self.forward is not None
            and self.call.repeatable
            and not self.is_begun
        )

    @property
    def is_begun(self) -> bool:
        """Whether the caller has a part of the answer."""
        return self.delivered_tokens > 0 or self.begun_at_peer


def _claim_nothing(attempt: str) -> None:
    """Do nothing: no attempt is open."""


def build_routing_request(progress: Progress) -> RoutingRequest:
    """Return the input of routing for the next attempt."""
    call = progress.call
    if not isinstance(call, ModelCall):
        return RoutingRequest(call.head.request, excluded=progress.excluded)
    return RoutingRequest(
        request=call.head.request,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix=call.prefix,
        excluded=progress.excluded,
        model=call.model,
    )


def estimate_work(call: Call) -> float:
    """Return the work of a request as a multiple of a typical request."""
    if not isinstance(call, ModelCall):
        return 1
    tokens = (
        call.prompt_tokens / _PREFILL_TOKENS_PER_OUTPUT_TOKEN
        + call.output_tokens
    )
    return min(_MAX_WORK, max(_MIN_WORK, tokens / _TYPICAL_TOKENS))


def adjust_problem(problem: Problem, progress: Progress) -> Problem:
    """Return the final problem, with earlier attempts taken into account.

    The answer is truncated if tokens were delivered, and ``ran`` is unknown if
    an earlier attempt may have run.
    """
    if progress.is_begun:
        message = 'no engine is available to continue the answer'
        return Problem(ErrorKind.ANSWER_TRUNCATED, message)
    if progress.may_have_run:
        return dataclasses.replace(problem, ran=Ran.UNKNOWN)
    return problem
