"""Decides when a caller may retry that no endpoint accepts at the moment."""

import random
from typing import Final

from verbenahall.errors import MAX_RETRY_SHARE

#: Shortest Retry-After, in seconds.
_MIN_RETRY_S: Final = 0.2
#: Range over which the returns of callers of one priority are spread, in
#: seconds. Callers of the next priority return after them.
_SPREAD_S: Final = 0.2
#: Lowest random factor of the longest Retry-After.
_MIN_JITTER: Final = 0.75


def choose_retry_after(
    left_s: float,
    priority: int,
    caller_left_s: float,
    rng: random.Random,
) -> float:
    """Return a Retry-After in seconds for a backoff with ``left_s`` left.

    Callers return one after the other from the end of the backoff on, urgent
    ones (``priority`` 0) first. All return while their requests can still be
    served, within ``caller_left_s``: another instance may serve them before.
    """
    delay_s = max(left_s, _MIN_RETRY_S) + _SPREAD_S * (priority + rng.random())
    longest_s = caller_left_s * MAX_RETRY_SHARE * rng.uniform(_MIN_JITTER, 1)
    return max(0, min(delay_s, longest_s))
