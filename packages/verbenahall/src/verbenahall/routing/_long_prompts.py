"""Restricts long prompts to a part of the engines.

The prefill of a long prompt lengthens every step of its engine and delays all
streams that decode there. A burst of long prompts over all engines delays all
streams; sent to as many engines as their work needs, it leaves the others
undisturbed. This needs no role change and follows a change of the mix within
seconds.

All instances order the engines the same way, so they use the same ones for
long prompts without exchanging messages. Each instance estimates the number of
engines from the requests that it routes itself.
"""

import functools
import math
from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

import xxhash

from verbenahall.fleet import Role
from verbenahall.routing._candidates import Candidate, RoutingState
from verbenahall.routing._messages import RoutingRequest
from verbenahall.routing._workload_mix import WorkloadMix

#: Prompts of at least this many tokens are long: their prefill delays a
#: decode step by more than a stream tolerates.
LONG_PROMPT_TOKENS: Final = 4000
#: Prompt tokens that take an engine about as long as one output token.
_PREFILL_TOKENS_PER_OUTPUT_TOKEN: Final = 4
#: Time constant of the estimate in seconds; long enough for several long
#: prompts to arrive within it.
_TIME_CONSTANT_S: Final = 15.0
#: Differences in engines between the target and the current number of engines
#: for long prompts, above which the number is changed. It grows early and
#: shrinks late: with one engine too few, long prompts queue behind each other,
#: while one too many costs the other requests little.
_GROW_THRESHOLD: Final = 0.3
_SHRINK_THRESHOLD: Final = 0.9
#: Added to the target, in engines, before it is rounded down.
_ROUND_UP_OFFSET: Final = 0.7
#: Smaller pools are not divided: one engine is too large a part of them.
_MIN_POOL_SIZE: Final = 3
#: Long prompts get an engine if their work exceeds this part of one engine.
_MIN_LONG_PROMPT_ENGINES: Final = 0.1
#: Maximum number of cached hashes of endpoint names.
_HASH_CACHE_SIZE: Final = 8192
#: Engines that suit long prompts best come first.
_ROLE_ORDER: Final = MappingProxyType(
    {Role.PREFILL: 0, Role.MIXED: 1, Role.DECODE: 2},
)


def filter_by_prompt_length(
    state: RoutingState,
    routing_request: RoutingRequest,
    pool: Sequence[Candidate],
    now: float,
) -> Sequence[Candidate]:
    """Return the engines for a request of this prompt length, at least one.

    Calls of plain services have no tokens, so their pool is returned whole. If
    ``pool`` is an instance's subset of a larger pool, the common order still
    puts the same engines first in every subset.
    """
    if not routing_request.prompt_tokens or len(pool) < _MIN_POOL_SIZE:
        return pool
    mix = state.mixes.setdefault(routing_request.model, WorkloadMix())
    is_long = routing_request.prompt_tokens >= LONG_PROMPT_TOKENS
    _record_arrival(mix, routing_request, now, is_long=is_long)
    _update_long_prompt_engines(mix, len(pool))
    if not mix.long_prompt_engines:
        return pool
    ordered = sorted(pool, key=_sort_key)
    if is_long:
        return ordered[: mix.long_prompt_engines]
    return ordered[mix.long_prompt_engines :]


def _record_arrival(
    mix: WorkloadMix,
    routing_request: RoutingRequest,
    now: float,
    *,
    is_long: bool,
) -> None:
    factor = math.exp((mix.updated - now) / _TIME_CONSTANT_S)
    mix.long_work *= factor
    mix.other_work *= factor
    mix.updated = now
    work = (
        routing_request.prompt_tokens / _PREFILL_TOKENS_PER_OUTPUT_TOKEN
        + routing_request.output_tokens
    )
    if is_long:
        mix.long_work += work
    else:
        mix.other_work += work


def _update_long_prompt_engines(mix: WorkloadMix, count: int) -> None:
    """Adjust the number of engines if it is too far from its target."""
    target = count * mix.long_work / (mix.long_work + mix.other_work)
    shortfall = target - mix.long_prompt_engines
    if shortfall > _GROW_THRESHOLD or shortfall < -_SHRINK_THRESHOLD:
        mix.long_prompt_engines = math.floor(target + _ROUND_UP_OFFSET)
    minimum = 1 if target > _MIN_LONG_PROMPT_ENGINES else 0
    mix.long_prompt_engines = min(
        max(minimum, mix.long_prompt_engines), count - 1
    )


def _sort_key(candidate: Candidate) -> tuple[int, int]:
    name = candidate.endpoint.name
    return _ROLE_ORDER[candidate.role], _hash_name(name)


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash_name(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
