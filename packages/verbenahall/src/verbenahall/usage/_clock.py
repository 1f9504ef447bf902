"""Time of day that does not depend on one machine's wall clock."""

import collections
import statistics
from collections.abc import Iterable
from typing import Final, final

from verbenahall.clock import Clock

#: Number of offsets that are kept, one for each of the latest messages that
#: hold a time.
_MAX_OFFSETS: Final = 8
#: Least number of clocks, including the local one, for a median: of two clocks
#: it would be the mean, which a wrong clock shifts.
_MIN_CLOCKS: Final = 3


@final
class SyncedClock:
    """Seconds since 1970, on a clock that a wall clock step does not move.

    It adds an offset to ``boottime``, which also advances while a machine is
    suspended. The wall clock is read only once, at the start, and may be wrong
    by seconds. So the median over all instances is used once it is known.
    """

    __slots__ = ('_boottime', '_local_offset', '_offsets')

    def __init__(self, boottime: Clock, wall: Clock) -> None:
        """Read the wall clock once."""
        self._boottime = boottime
        self._local_offset = wall() - boottime()
        self._offsets: collections.deque[float] = collections.deque(
            maxlen=_MAX_OFFSETS
        )

    def now(self) -> float:
        """Return the time of day that the instances have agreed on."""
        return self._boottime() + self._find_offset()

    def read_local(self) -> float:
        """Return the time by this machine's clock alone."""
        return self._boottime() + self._local_offset

    def record_time(self, at: float) -> None:
        """Record the time ``at`` of a message that was just received.

        A message that waited unread while the process was paused has a time
        that is too early, so the latest of the kept offsets is used.
        """
        self._offsets.append(at - self._boottime())

    def compute_lead(self, at: float) -> float:
        """Return by how many seconds ``at`` is ahead of the local clock."""
        return at - self.read_local()

    def find_median(self, leads: Iterable[float]) -> float | None:
        """Return the time by the median of all clocks, None if too few.

        ``leads`` holds the lead of each other instance's clock over the local
        one, in seconds.
        """
        all_leads = [0, *leads]
        if len(all_leads) < _MIN_CLOCKS:
            return None
        return self.read_local() + statistics.median(all_leads)

    def _find_offset(self) -> float:
        return max(self._offsets, default=self._local_offset)
