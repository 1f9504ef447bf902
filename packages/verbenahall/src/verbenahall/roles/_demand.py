"""Estimates the rates at which prefill and decode work arrives."""

import math
from typing import Final

from verbenahall.roles._messages import Demand

#: Time constant of the estimate in seconds. A shorter one follows noise, a
#: longer one reacts too late to a change; see docs/design/roles.md.
_TIME_CONSTANT_S: Final = 8.0


class DemandState:
    """Exponentially decaying token counts of arriving requests."""

    __slots__ = ('prefill', 'decode', 'updated', 'arrived')

    def __init__(self, now: float) -> None:
        """Start with no arrivals."""
        self.prefill: float = 0
        self.decode: float = 0
        self.updated = now
        self.arrived = now


def record_arrival(
    state: DemandState,
    prompt_tokens: int,
    output_tokens: int,
    now: float,
) -> None:
    """Add the prompt and the expected output of an arriving request."""
    _decay(state, now)
    state.prefill += prompt_tokens
    state.decode += output_tokens
    state.arrived = now


def estimate_demand(state: DemandState, now: float, share: float = 1) -> Demand:
    """Return the estimated demand in the whole data centre.

    The load balancer in front spreads the callers over all instances, so this
    instance receives only a ``share`` of them. The estimate is divided by it.
    """
    _decay(state, now)
    scale = 1 / (_TIME_CONSTANT_S * share)
    return Demand(
        prefill_tokens_s=state.prefill * scale,
        decode_tokens_s=state.decode * scale,
        age_s=now - state.arrived,
    )


def _decay(state: DemandState, now: float) -> None:
    factor = math.exp((state.updated - now) / _TIME_CONSTANT_S)
    state.prefill *= factor
    state.decode *= factor
    state.updated = now
