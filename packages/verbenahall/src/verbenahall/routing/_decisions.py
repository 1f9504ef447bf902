"""The choice: a few random candidates, role and prefix as hints.

An instance looks at no more candidates than it has requests open, and at two
at least: beyond that its own work cannot tell them apart, old reports would,
and all instances would run to the endpoint that once looked empty. A little
noise parts instances that see the same. Role and cached prefix are hints,
priced in load, so both give way when the endpoint that they favour is busy.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Role
from verbenahall.load import LoadState, believe, weigh
from verbenahall.routing._candidates import (
    Candidate,
    RoutingState,
    take_subset,
    weigh_by_rendezvous,
)
from verbenahall.routing._gathering import gather
from verbenahall.routing._messages import Choice, Question

_FEWEST_LOOKED_AT: Final = 2
_MOST_LOOKED_AT: Final = 12
#: Differences below this are settled by chance.
_NOISE: Final = 0.3
#: A prompt this many times its output is prefill work, and the inverse.
_PREFILL_RATIO: Final = 8.0
_DECODE_RATIO: Final = 2.0
#: How many typical requests of load a cached prefix is worth.
_PREFIX_WORTH: Final = 2.0
#: Load that is added for an engine of a less fitting role.
_ROLE_LOAD: Final = MappingProxyType(
    {
        (Role.PREFILL, Role.MIXED): 1.0,
        (Role.PREFILL, Role.DECODE): 6.0,
        (Role.DECODE, Role.MIXED): 1.0,
        (Role.DECODE, Role.PREFILL): 6.0,
        (Role.MIXED, Role.PREFILL): 3.0,
        (Role.MIXED, Role.DECODE): 3.0,
    },
)


@final
class _Offer:
    """A candidate at its cost; plain, as many are made for each choice."""

    __slots__ = ('candidate', 'cost', 'reason')

    def __init__(
        self,
        candidate: Candidate,
        cost: float,
        reason: str = 'load',
    ) -> None:
        self.candidate = candidate
        self.cost = cost
        self.reason = reason


def choose(
    state: RoutingState,
    question: Question,
    candidates: Sequence[Candidate],
    load: LoadState,
    now: float,
) -> Result[Choice, Problem]:
    """Choose the endpoint of one attempt, or say that none is left.

    ``candidates`` are live and hold what the request needs. Those of the own
    data centre go first; others are taken only when none of them is left.
    """
    pool = _narrow(state, question, candidates)
    if not pool:
        return Failure(
            Problem(
                ErrorKind.NO_ENDPOINT,
                'no live endpoint can take this request now',
            ),
        )
    pool = gather(state, question, pool, now)
    wanted = want_role(question)
    offers = [
        _Offer(candidate, _price(state, candidate, wanted, load, now))
        for candidate in _sample(state, pool, wanted, load.open)
    ]
    favourite = _find_favourite(question, pool)
    if favourite:
        cost = _price(state, favourite, wanted, load, now)
        offers.append(_Offer(favourite, cost - _PREFIX_WORTH, 'prefix'))
    return Success(_conclude(offers, load, now))


def want_role(question: Question) -> Role:
    """Return the role whose work dominates the request."""
    if not question.prompt_tokens and not question.output_tokens:
        return Role.MIXED
    if question.prompt_tokens >= _PREFILL_RATIO * question.output_tokens:
        return Role.PREFILL
    if question.output_tokens >= _DECODE_RATIO * question.prompt_tokens:
        return Role.DECODE
    return Role.MIXED


def _narrow(
    state: RoutingState,
    question: Question,
    candidates: Sequence[Candidate],
) -> Sequence[Candidate]:
    """Drop what already failed; keep to the own data centre if possible."""
    left = candidates
    if question.excluded:
        left = [
            candidate
            for candidate in candidates
            if candidate.endpoint.name not in question.excluded
        ]
    near = [
        candidate
        for candidate in left
        if candidate.endpoint.data_centre == state.data_centre
    ]
    return take_subset(state.instance, near or left)


def _sample(
    state: RoutingState,
    pool: Sequence[Candidate],
    wanted: Role,
    open_requests: int,
) -> list[Candidate]:
    """Take a few at random of the wanted role, and a few of the others."""
    size = min(_MOST_LOOKED_AT, max(_FEWEST_LOOKED_AT, open_requests))
    fitting = [found for found in pool if found.role is wanted]
    others = [found for found in pool if found.role is not wanted]
    return [
        *state.random.sample(fitting, min(size, len(fitting))),
        *state.random.sample(others, min(size, len(others))),
    ]


def _find_favourite(
    question: Question,
    pool: Sequence[Candidate],
) -> Candidate | None:
    """Return the engine on which all instances gather this prefix."""
    if not question.prefix:
        return None
    return max(
        pool,
        key=lambda found: weigh_by_rendezvous(
            question.prefix,
            found.endpoint.name,
        ),
    )


def _price(
    state: RoutingState,
    candidate: Candidate,
    wanted: Role,
    load: LoadState,
    now: float,
) -> float:
    cost = weigh(load, candidate.endpoint.name, now)
    if candidate.role is not wanted:
        cost += _ROLE_LOAD[wanted, candidate.role]
    return cost + _NOISE * state.random.random()


def _conclude(
    offers: Sequence[_Offer],
    load: LoadState,
    now: float,
) -> Choice:
    best = min(offers, key=lambda offer: offer.cost)
    chosen = best.candidate.endpoint
    over = {offer.candidate.endpoint.name for offer in offers}
    return Choice(
        endpoint=chosen,
        belief=believe(load, chosen.name, now),
        over=tuple(sorted(over - {chosen.name})),
        reason=best.reason,
    )
