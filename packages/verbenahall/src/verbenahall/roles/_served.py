"""How much of a demand a set of roles can serve."""

from verbenahall.roles._messages import Counts, Demand, Profile

#: Demand below this many engines counts as none.
_NOTHING = 1e-9


def served_share(counts: Counts, demand: Demand, profile: Profile) -> float:
    """Return the largest multiple of the demand that the roles can serve.

    A mixed engine prefills and decodes at a share of the dedicated rates
    (``mixed_prefill``, ``mixed_decode``). With demand of ``p`` and ``d``
    engines, a multiple ``f`` is served when what the dedicated engines lack,
    in mixed engines' time, is at most ``mixed``: ``max(0, (f*p - prefill) /
    mixed_prefill) + max(0, (f*d - decode) / mixed_decode) <= mixed``. That
    sum is the largest of its parts, which gives three bounds on ``f``; the
    least of them is the answer. Above 1 there is headroom.
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


def engines_wanted(demand: Demand, profile: Profile) -> float:
    """Return the demand in engines working at their full rate."""
    return (
        demand.prefill_tokens_s / profile.prefill_tokens_s
        + demand.decode_tokens_s / profile.decode_tokens_s
    )


def _divide(capacity: float, wanted: float) -> float:
    return float('inf') if wanted < _NOTHING else capacity / wanted
