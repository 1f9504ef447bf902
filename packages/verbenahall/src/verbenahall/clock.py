"""Clocks: monotonic seconds for decisions, wall seconds for people only."""

import time
from collections.abc import Callable

#: A source of monotonic seconds. Decision functions take ``now`` instead.
Clock = Callable[[], float]

monotonic: Clock = time.monotonic
wall: Clock = time.time


def boottime() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
