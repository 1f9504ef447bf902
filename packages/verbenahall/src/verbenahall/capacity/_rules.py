"""Checks of the rules by which a service is scaled."""

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall.catalog import ScalingRules


def _is_amount(found: float) -> bool:
    return math.isfinite(found) and found > 0


_Check = Callable[[ScalingRules], bool]
#: The check of each field, by the field's name.
_CHECKS: Final[Mapping[str, _Check]] = MappingProxyType(
    {
        'min_engines': lambda rules: 0 <= rules.min_engines,
        'max_engines': lambda rules: (
            rules.max_engines >= max(1, rules.min_engines)
        ),
        'boot_s': lambda rules: _is_amount(rules.boot_s),
        'spot_share': lambda rules: _is_amount(rules.spot_share),
        'prices': lambda rules: (
            bool(rules.prices) and all(map(_is_amount, rules.prices.values()))
        ),
    },
)


def find_invalid_field(rules: ScalingRules) -> str:
    """Return the name of the first invalid field; empty if all are valid."""
    for name, is_valid in _CHECKS.items():
        if not is_valid(rules):
            return name
    return ''
