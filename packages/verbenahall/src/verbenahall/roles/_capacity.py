"""Capacity of a pool with given roles, relative to a demand."""

from verbenahall.roles._messages import Counts, Demand, Profile

#: Smaller demands, in engines, count as zero.
_MIN_DEMAND_ENGINES = 1e-9


def compute_served_share(
    counts: Counts, demand: Demand, profile: Profile
) -> float:
    """Return the largest multiple of the demand that the roles can serve.

    A result above 1 means headroom. A mixed engine prefills and decodes at a
    fraction of the dedicated rates (``mixed_prefill``, ``mixed_decode``). Let
    the demand be ``p`` engines of prefill and ``d`` of decode. A multiple
    ``f`` can be served if the work beyond the dedicated engines fits into the
    mixed ones: ``max(0, (f*p - prefill) / mixed_prefill) + max(0, (f*d -
    decode) / mixed_decode) <= mixed``. As ``max(0, a) + max(0, b)`` is the
    largest of ``0``, ``a``, ``b`` and ``a + b``, this gives three upper bounds
    on ``f``. The result is the lowest of them.
    """
    prefill = demand.prefill_tokens_s / profile.prefill_tokens_s
    decode = demand.decode_tokens_s / profile.decode_tokens_s
    prefill_time = prefill / profile.mixed_prefill
    decode_time = decode / profile.mixed_decode
    spare_prefill = counts.prefill / profile.mixed_prefill
    spare_decode = counts.decode / profile.mixed_decode
    return min(
        _divide(counts.mixed + spare_prefill, prefill_time),
        _divide(counts.mixed + spare_decode, decode_time),
        _divide(
            counts.mixed + spare_prefill + spare_decode,
            prefill_time + decode_time,
        ),
    )


def compute_engines_needed(demand: Demand, profile: Profile) -> float:
    """Return the demand in engines at their full rate."""
    return (
        demand.prefill_tokens_s / profile.prefill_tokens_s
        + demand.decode_tokens_s / profile.decode_tokens_s
    )


def _divide(capacity: float, needed: float) -> float:
    return float('inf') if needed < _MIN_DEMAND_ENGINES else capacity / needed
