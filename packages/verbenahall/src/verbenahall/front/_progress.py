"""What a request has been through, and what one attempt is."""

import dataclasses
from typing import Final, Protocol, TypeVar, final

from returns.result import Result

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Endpoint
from verbenahall.front._fleet import name_wanted
from verbenahall.front._messages import Call, ModelCall
from verbenahall.requests import Outcome
from verbenahall.routing import Question

#: Work of a request in typical ones: a typical one has this many tokens.
_TYPICAL_TOKENS: Final = 512
_LEAST_WORK: Final = 0.25
_MOST_WORK: Final = 8.0
#: An engine reads this many prompt tokens while it writes one.
_PREFILL_SPEED_UP: Final = 16

Sent = TypeVar('Sent', covariant=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """An attempt at an endpoint; ``remaining_s`` until the deadline."""

    endpoint: Endpoint
    attempt: str
    remaining_s: float


class Sender(Protocol[Sent]):
    """Sends one kind of request, by the protocol of its endpoints."""

    async def send(self, placed: Placed) -> Result[Sent, Outcome]:
        """Run one attempt to its end."""

    def cancel(self, placed: Placed) -> None:
        """Stop the work of an attempt that was given up."""


@final
class Progress:
    """What one request has been through so far.

    ``delivered`` counts the tokens that reached the caller, and ``version``
    is the model's version that they came from. ``claim`` is the offset at
    which its key was won, None before.
    """

    __slots__ = (
        'call',
        'wanted',
        'attempts',
        'excluded',
        'needs_claim',
        'claim',
        'unknown',
        'delivered',
        'version',
    )

    def __init__(self, call: Call) -> None:
        """Start before the first attempt."""
        self.call = call
        self.wanted = name_wanted(call)
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.needs_claim = bool(call.head.key) and not call.repeatable
        self.claim: int | None = None
        self.unknown = False
        self.delivered = 0
        self.version = ''


def ask_routing(progress: Progress) -> Question:
    """Return what routing is asked for the next attempt."""
    call = progress.call
    if not isinstance(call, ModelCall):
        return Question(call.head.request, excluded=progress.excluded)
    return Question(
        request=call.head.request,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix=call.prefix,
        excluded=progress.excluded,
        model=call.model,
    )


def estimate_work(call: Call) -> float:
    """Return a request's work in typical requests."""
    if not isinstance(call, ModelCall):
        return 1
    tokens = call.prompt_tokens / _PREFILL_SPEED_UP + call.output_tokens
    return min(_MOST_WORK, max(_LEAST_WORK, tokens / _TYPICAL_TOKENS))


def recall_doubt(problem: Problem, progress: Progress) -> Problem:
    """Keep an earlier attempt's doubt in the final answer."""
    if progress.delivered:
        message = 'no engine is left that can go on with the answer'
        return Problem(ErrorKind.ANSWER_TRUNCATED, message)
    if progress.unknown:
        return dataclasses.replace(problem, ran=Ran.UNKNOWN)
    return problem
