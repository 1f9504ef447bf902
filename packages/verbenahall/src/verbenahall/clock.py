"""Clocks: monotonic time for decisions, wall time only for display."""

import time
from collections.abc import Callable

#: Returns seconds. Decision functions take the time ``now`` instead of a clock.
Clock = Callable[[], float]

monotonic: Clock = time.monotonic
wall: Clock = time.time


def boottime() -> float:
    """Return seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
