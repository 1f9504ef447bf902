"""Arriving prefill and decode work, as exponentially decaying rates."""

import math
from typing import Final

from verbenahall.roles._messages import Demand

#: Time constant of the estimate. Shorter follows noise, longer misses the
#: start of a swing; docs/design/roles.md has the measurement.
_WINDOW_S: Final = 8.0


class DemandState:
    """One pool's arrivals; tokens decay with the window's time constant."""

    __slots__ = ('prefill', 'decode', 'updated', 'arrived')

    def __init__(self, now: float) -> None:
        """Start with no arrivals."""
        self.prefill: float = 0
        self.decode: float = 0
        self.updated = now
        self.arrived = now


def note_arrival(
    state: DemandState,
    prompt_tokens: int,
    output_tokens: int,
    now: float,
) -> None:
    """Count one arriving request by its prompt and expected output."""
    _decay(state, now)
    state.prefill += prompt_tokens
    state.decode += output_tokens
    state.arrived = now


def read_demand(state: DemandState, now: float, share: float = 1) -> Demand:
    """Return the demand of the whole pool.

    An instance sees only its ``share`` of the data centre's callers, since
    the balancer in front spreads them; the estimate is scaled up by it.
    """
    _decay(state, now)
    scale = 1 / (_WINDOW_S * share)
    return Demand(
        prefill_tokens_s=state.prefill * scale,
        decode_tokens_s=state.decode * scale,
        age_s=now - state.arrived,
    )


def _decay(state: DemandState, now: float) -> None:
    factor = math.exp((state.updated - now) / _WINDOW_S)
    state.prefill *= factor
    state.decode *= factor
    state.updated = now
