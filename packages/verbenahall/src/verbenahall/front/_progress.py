"""The progress of a request over its attempts."""

import dataclasses
from collections.abc import Callable
from typing import Final, Protocol, TypeVar, final

from returns.result import Result

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Endpoint
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
    that the request was counted as demand, and ``may_forward`` that a peer may
    serve it. ``claim(attempt)`` makes an open attempt the only one.
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
        'may_forward',
        'claim',
    )

    def __init__(self, call: Call) -> None:
        """Start without attempts."""
        self.call = call
        self.requirement = get_requirement(call)
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.needs_claim = bool(call.head.key) and not call.repeatable
        self.claim_offset: int | None = None
        self.may_have_run = False
        self.delivered_tokens = 0
        self.version = ''
        self.is_counted = False
        self.may_forward = False
        self.claim: Callable[[str], None] = _claim_nothing

    @property
    def may_leave(self) -> bool:
        """Whether a peer may serve the request though it may have run here."""
        return (
            self.may_forward
            and self.call.repeatable
            and not self.delivered_tokens
        )


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
    if progress.delivered_tokens:
        message = 'no engine is available to continue the answer'
        return Problem(ErrorKind.ANSWER_TRUNCATED, message)
    if progress.may_have_run:
        return dataclasses.replace(problem, ran=Ran.UNKNOWN)
    return problem
