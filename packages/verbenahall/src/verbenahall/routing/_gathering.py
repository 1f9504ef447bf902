"""Gathers long prompts on some engines, so that they hold up few others.

A long prompt stretches every step of the engine that prefills it, and each
answer that streams there falls behind. Spread over all engines, a rush of
them makes all streams late; gathered on the share of engines that their work
needs, it leaves the others alone. That costs no role change and follows a
swing within seconds.

All instances order engines alike, so they gather on the same ones without a
word between them. Each estimates the share from its own arrivals.
"""

import functools
import math
from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

import xxhash

from verbenahall.fleet import Role
from verbenahall.routing._candidates import Candidate, RoutingState
from verbenahall.routing._messages import Question
from verbenahall.routing._mix import Mix

#: Prompts from here on stretch a step beyond what a stream can bear.
LONG_PROMPT_TOKENS: Final = 4000
#: Prompt tokens that cost an engine about as much as one output token.
_PREFILL_SPEED_UP: Final = 4
#: Time constant of the estimate; a few long prompts must fall into it.
_WINDOW_S: Final = 15.0
#: The count grows early and shrinks late: an engine too few leaves long
#: prompts waiting behind each other, one too many costs the rest a little.
_GROW_SLACK: Final = 0.3
_SHRINK_SLACK: Final = 0.9
_ROUNDING: Final = 0.7
#: In a smaller pool one engine is too large a part of it to set apart.
_FEWEST_ENGINES: Final = 3
#: Less long work than this part of one engine is not worth an engine.
_LEAST_ENGINES: Final = 0.1
_ORDERS_KEPT: Final = 8192
_RANKS: Final = MappingProxyType(
    {Role.PREFILL: 0, Role.MIXED: 1, Role.DECODE: 2},
)


def gather(
    state: RoutingState,
    question: Question,
    pool: Sequence[Candidate],
    now: float,
) -> Sequence[Candidate]:
    """Return the engines for a request of this length; never none.

    Plain services, whose calls have no tokens, are left as they are. In a pool
    of which an instance sees only a subset, the common order makes the
    gathered part of each subset a part of the same engines.
    """
    if not question.prompt_tokens or len(pool) < _FEWEST_ENGINES:
        return pool
    mix = state.mixes.setdefault(question.model, Mix())
    is_long = question.prompt_tokens >= LONG_PROMPT_TOKENS
    _note(mix, question, now, is_long=is_long)
    _settle(mix, len(pool))
    if not mix.gathered:
        return pool
    ordered = sorted(pool, key=_rank)
    if is_long:
        return ordered[: mix.gathered]
    return ordered[mix.gathered :]


def _note(mix: Mix, question: Question, now: float, *, is_long: bool) -> None:
    factor = math.exp((mix.updated - now) / _WINDOW_S)
    mix.long *= factor
    mix.rest *= factor
    mix.updated = now
    work = question.prompt_tokens / _PREFILL_SPEED_UP + question.output_tokens
    if is_long:
        mix.long += work
    else:
        mix.rest += work


def _settle(mix: Mix, count: int) -> None:
    """Move the gathered count when the wanted one has left it clearly."""
    wanted = count * mix.long / (mix.long + mix.rest)
    missing = wanted - mix.gathered
    if missing > _GROW_SLACK or missing < -_SHRINK_SLACK:
        mix.gathered = math.floor(wanted + _ROUNDING)
    least = 1 if wanted > _LEAST_ENGINES else 0
    mix.gathered = min(max(least, mix.gathered), count - 1)


def _rank(candidate: Candidate) -> tuple[int, int]:
    name = candidate.endpoint.name
    return _RANKS[candidate.role], _hash_name(name)


@functools.lru_cache(maxsize=_ORDERS_KEPT)
def _hash_name(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
