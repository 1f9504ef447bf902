"""Pools that have refused orders, since no engines of their kind are left."""

import dataclasses
from typing import Final, final

from verbenahall.capacity import Pool

#: First and longest time, in seconds, for which no order is sent to a pool
#: without available capacity.
_FIRST_CLOSED_S: Final = 1.0
_MAX_CLOSED_S: Final = 4.0
#: Time of refusals after which a pool is exhausted, in seconds: none is
#: available in a data centre for 8 to 10 s after a reclaim.
_EXHAUSTED_S: Final = 12.0
#: Time after the last refusal in which a pool counts as exhausted, in seconds.
#: Afterwards it is tried again.
_RETRY_EXHAUSTED_S: Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Closure:
    """Until when a pool gets no orders, and the length of this pause.

    ``since`` is the time of the first refusal of those in a row.
    """

    until: float
    pause_s: float
    since: float

    def is_exhausted(self, now: float) -> bool:
        """Whether the pool has refused orders for long, and lately."""
        is_long = self.until - self.since >= _EXHAUSTED_S
        return is_long and now < self.until + _RETRY_EXHAUSTED_S


@final
class PoolClosures:
    """Pools without available capacity; times are monotonic."""

    __slots__ = ('_closures',)

    def __init__(self) -> None:
        """Start without a refusal."""
        self._closures: dict[Pool, _Closure] = {}

    def record_unavailable(self, pool: Pool, now: float) -> None:
        """Record that a pool has no capacity; orders to it are paused."""
        known = self._closures.get(pool)
        pause_s = 2 * known.pause_s if known else _FIRST_CLOSED_S
        pause_s = min(pause_s, _MAX_CLOSED_S)
        since = known.since if known else now
        self._closures[pool] = _Closure(now + pause_s, pause_s, since)

    def record_available(self, pool: Pool) -> None:
        """Record that a pool has accepted an order."""
        self._closures.pop(pool, None)

    def list_refused(self) -> set[Pool]:
        """Return the pools that have refused the last order."""
        return set(self._closures)

    def list_closed(self, now: float) -> set[Pool]:
        """Return the pools that get no orders now."""
        return {
            pool
            for pool, closure in self._closures.items()
            if now < closure.until
        }

    def list_exhausted(self, now: float) -> set[Pool]:
        """Return the pools that the mix must do without."""
        return {
            pool
            for pool, closure in self._closures.items()
            if closure.is_exhausted(now)
        }
