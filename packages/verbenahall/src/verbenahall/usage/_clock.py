"""The true time of day, whatever a machine's own clock does."""

import collections
import statistics
from collections.abc import Iterable
from typing import Final, final

from verbenahall.clock import Clock

#: Offsets that are remembered, of the last messages that told the time.
_KEPT: Final = 8
#: Instances that must tell their time before their median is believed.
_FEWEST: Final = 3


@final
class TrueClock:
    """Seconds since 1970, on a clock that no step of the wall clock moves.

    ``boottime`` counts on while a machine is suspended; the wall clock is
    read once, at the start. A machine may have started with a clock that is
    seconds off, so the median of all instances goes before it.
    """

    __slots__ = ('_boottime', '_own', '_told')

    def __init__(self, boottime: Clock, wall: Clock) -> None:
        """Read the wall clock once."""
        self._boottime = boottime
        self._own = wall() - boottime()
        self._told: collections.deque[float] = collections.deque(maxlen=_KEPT)

    def now(self) -> float:
        """Return the true time."""
        return self._boottime() + self._find_offset()

    def read_local(self) -> float:
        """Return the time as this machine alone would tell it."""
        return self._boottime() + self._own

    def record_time(self, at: float) -> None:
        """Take the time of a message that has just come.

        A message that lay unread while the process stood still tells a time
        that has long passed, so the latest of several is believed.
        """
        self._told.append(at - self._boottime())

    def compute_lead(self, at: float) -> float:
        """Return how far the time of a message is ahead of the own one."""
        return at - self.read_local()

    def find_median(self, leads: Iterable[float]) -> float | None:
        """Return the time by the median of all, None if too few tell theirs.

        ``leads`` are how far the other instances are ahead of this one.
        """
        known = [0, *leads]
        if len(known) < _FEWEST:
            return None
        return self.read_local() + statistics.median(known)

    def _find_offset(self) -> float:
        return max(self._told, default=self._own)
