"""How much of a demand a set of roles can serve."""

from verbenahall.roles._messages import Counts, Demand, Profile

#: Demand below this many engines counts as none.
_NOTHING = 1e-9


def served_share(counts: Counts, demand: Demand, profile: Profile) -> float:
    """Return the largest multiple of the demand that the roles can serve.

    With demand of ``p`` and ``d`` engines for prefill and decode, mixed
    engines worth ``m`` cover what the dedicated ones lack, so a multiple
    ``f`` is served when ``max(0, f*p - prefill) + max(0, f*d - decode) <= m``.
    That sum is the largest of its parts, which gives three bounds on ``f``;
    the least of them is the answer. Above 1 there is headroom.
    """
    prefill = demand.prefill_tokens_s / profile.prefill_tokens_s
    decode = demand.decode_tokens_s / profile.decode_tokens_s
    mixed = counts.mixed * profile.mixed_efficiency
    return min(
        _divide(mixed + counts.prefill, prefill),
        _divide(mixed + counts.decode, decode),
        _divide(mixed + counts.prefill + counts.decode, prefill + decode),
    )


def engines_wanted(demand: Demand, profile: Profile) -> float:
    """Return the demand in engines working at their full rate."""
    return (
        demand.prefill_tokens_s / profile.prefill_tokens_s
        + demand.decode_tokens_s / profile.decode_tokens_s
    )


def _divide(capacity: float, wanted: float) -> float:
    return float('inf') if wanted < _NOTHING else capacity / wanted
