"""At most once for keyed calls, decided by the order of the log."""

from verbenahall.claims._messages import (
    DEFAULT_TIMING,
    KEYS_PER_GENERATION,
    Appender,
    ClaimsTiming,
)
from verbenahall.claims._shell import Claims

__all__ = (
    'DEFAULT_TIMING',
    'KEYS_PER_GENERATION',
    'Appender',
    'Claims',
    'ClaimsTiming',
)
