"""Claims on keys, so that a keyed call runs at most once.

The order of the log decides which claim on a key wins.
"""

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
