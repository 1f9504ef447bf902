"""The engine time of requests, in seconds."""

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from verbenahall.placement import (
        Plan,
        PlacementState,
        Work,
    )

#: Largest factor between the expected and the measured time of a prefill, up or
#: down. Engines differ by less. Beyond it, a measurement shows a stall, or a
#: prompt too short to be timed, and a workspace would pay for seconds that it
#: did not use, or nothing at all.
_MAX_FACTOR: Final = 4.0


def estimate_engine_time(
    placement: 'PlacementState', plan: 'Plan', work: 'Work'
) -> float:
    """Return the expected engine time of a request by its plan.

    It is the time of its prefill, and of its stream divided by the slots of the
    decode engine, which decodes as many streams at a time.
    """
    stream_s = work.output_tokens * placement.token_times.estimate(
        plan.decode_engine.name
    )
    slots = max(1, plan.decode_engine.slots)
    return _predict_prefill(placement, plan, work) + stream_s / slots


def measure_engine_time(
    placement: 'PlacementState', plan: 'Plan', work: 'Work', seconds: float
) -> float:
    """Return the engine time of a request whose prefill took ``seconds``.

    A prefill that shared its engine with others took longer than its own engine
    time, so the estimate stands.
    """
    estimated_s = estimate_engine_time(placement, plan, work)
    if plan.ahead_s:
        return estimated_s
    predicted_s = _predict_prefill(placement, plan, work)
    measured_s = seconds - placement.prefill_speed.start_s
    bounded_s = min(
        max(measured_s, predicted_s / _MAX_FACTOR), predicted_s * _MAX_FACTOR
    )
    return estimated_s - predicted_s + bounded_s


def _predict_prefill(
    placement: 'PlacementState', plan: 'Plan', work: 'Work'
) -> float:
    cached = work.prompt_tokens - plan.missing
    return placement.prefill_speed.predict_s(plan.missing, cached)
