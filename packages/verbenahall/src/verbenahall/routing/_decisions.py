"""Endpoint selection: the cheapest of a few randomly sampled candidates.

The sample is as large as the number of requests that this instance has open,
and at least two. In a larger sample the instance's own requests would not
distinguish the candidates, only old load reports would, and all instances
would send to the endpoint that last reported an empty queue. Random jitter on
the costs separates instances that have the same reports.

A fitting role and a cached prefix are preferences. They only lower the cost,
so a preferred endpoint that is busy loses to an idle one.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Role
from verbenahall.load import LoadState, compute_load_cost, estimate_load
from verbenahall.routing._candidates import (
    Candidate,
    RoutingState,
    compute_rendezvous_weight,
    select_subset,
)
from verbenahall.routing._long_prompts import filter_by_prompt_length
from verbenahall.routing._messages import Choice, RoutingRequest

#: Bounds of the sample size. The preferred role and the other roles are
#: sampled separately.
_MIN_SAMPLE: Final = 2
_MAX_SAMPLE: Final = 12
#: Width of the random jitter on a cost, in typical requests. Smaller
#: differences in cost are decided at random.
_COST_JITTER: Final = 0.3
#: A request prefers a prefill engine if its prompt has at least this many
#: tokens per output token.
_PREFILL_RATIO: Final = 8.0
#: A request prefers a decode engine if its output has at least this many
#: tokens per prompt token.
_DECODE_RATIO: Final = 2.0
#: Cost reduction for a cached prefix, in typical requests.
_PREFIX_CACHE_DISCOUNT: Final = 2.0
#: Cost added for an engine of another role, in typical requests, by
#: preferred role and engine role.
_ROLE_MISMATCH_COST: Final = MappingProxyType(
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
class _ScoredCandidate:
    """A candidate with its cost and the reason to select it.

    Not a dataclass: creation is on the hot path of every selection.
    """

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


def choose_endpoint(
    state: RoutingState,
    routing_request: RoutingRequest,
    candidates: Sequence[Candidate],
    load: LoadState,
    now: float,
) -> Result[Choice, Problem]:
    """Select the endpoint of one attempt, or fail with ``NO_ENDPOINT``.

    ``candidates`` are live and able to serve the request. Those of other data
    centres are used only if the local one has none left.
    """
    pool = _filter_candidates(state, routing_request, candidates)
    if not pool:
        return Failure(
            Problem(
                ErrorKind.NO_ENDPOINT,
                'no live endpoint can take this request now',
            ),
        )
    pool = filter_by_prompt_length(state, routing_request, pool, now)
    preferred = find_preferred_role(routing_request)
    scored = [
        _ScoredCandidate(
            candidate,
            _compute_candidate_cost(state, candidate, preferred, load, now),
        )
        for candidate in _sample(state, pool, preferred, load.open_attempts)
    ]
    prefix_owner = _find_prefix_owner(routing_request, pool)
    if prefix_owner:
        cost = _compute_candidate_cost(
            state, prefix_owner, preferred, load, now
        )
        scored.append(
            _ScoredCandidate(
                prefix_owner, cost - _PREFIX_CACHE_DISCOUNT, 'prefix'
            )
        )
    return Success(_select_cheapest(scored, load, now))


def find_preferred_role(routing_request: RoutingRequest) -> Role:
    """Return the engine role that fits the request's token counts."""
    if not routing_request.prompt_tokens and not routing_request.output_tokens:
        return Role.MIXED
    if (
        routing_request.prompt_tokens
        >= _PREFILL_RATIO * routing_request.output_tokens
    ):
        return Role.PREFILL
    if (
        routing_request.output_tokens
        >= _DECODE_RATIO * routing_request.prompt_tokens
    ):
        return Role.DECODE
    return Role.MIXED


def _filter_candidates(
    state: RoutingState,
    routing_request: RoutingRequest,
    candidates: Sequence[Candidate],
) -> Sequence[Candidate]:
    """Return this instance's subset of the candidates that are usable.

    Drops excluded endpoints, and remote ones if a local one is left.
    """
    remaining = candidates
    if routing_request.excluded:
        remaining = [
            candidate
            for candidate in candidates
            if candidate.endpoint.name not in routing_request.excluded
        ]
    local = [
        candidate
        for candidate in remaining
        if candidate.endpoint.data_centre == state.data_centre
    ]
    return select_subset(state.instance, local or remaining)


def _sample(
    state: RoutingState,
    pool: Sequence[Candidate],
    preferred: Role,
    open_requests: int,
) -> list[Candidate]:
    """Sample candidates of the preferred role and of the other roles."""
    size = min(_MAX_SAMPLE, max(_MIN_SAMPLE, open_requests))
    fitting = [option for option in pool if option.role is preferred]
    others = [option for option in pool if option.role is not preferred]
    return [
        *state.random.sample(fitting, min(size, len(fitting))),
        *state.random.sample(others, min(size, len(others))),
    ]


def _find_prefix_owner(
    routing_request: RoutingRequest,
    pool: Sequence[Candidate],
) -> Candidate | None:
    """Return the engine to which all instances send this prefix.

    None if the request has no prefix.
    """
    if not routing_request.prefix:
        return None
    return max(
        pool,
        key=lambda option: compute_rendezvous_weight(
            routing_request.prefix,
            option.endpoint.name,
        ),
    )


def _compute_candidate_cost(
    state: RoutingState,
    candidate: Candidate,
    preferred: Role,
    load: LoadState,
    now: float,
) -> float:
    cost = compute_load_cost(load, candidate.endpoint.name, now)
    if candidate.role is not preferred:
        cost += _ROLE_MISMATCH_COST[preferred, candidate.role]
    return cost + _COST_JITTER * state.random.random()


def _select_cheapest(
    scored: Sequence[_ScoredCandidate],
    load: LoadState,
    now: float,
) -> Choice:
    best = min(scored, key=lambda option: option.cost)
    chosen = best.candidate.endpoint
    compared = {option.candidate.endpoint.name for option in scored}
    return Choice(
        endpoint=chosen,
        load_estimate=estimate_load(load, chosen.name, now),
        over=tuple(sorted(compared - {chosen.name})),
        reason=best.reason,
    )
