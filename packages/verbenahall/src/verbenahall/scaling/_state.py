"""What the instance that scales knows of its orders."""

import dataclasses
import math
from typing import Final, final

from verbenahall.catalog import ScalingRules
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes

#: First and longest time for which a pool without engines is left alone, in
#: seconds.
_CLOSED_S: Final = 1.0
_LONGEST_CLOSED_S: Final = 4.0
#: How long on-demand engines stay when they are not needed any more, in
#: seconds: data centres lose their spot instances one after the other.
_KEPT_S: Final = 10.0
#: How long a pool may differ from its order beyond the boot time, in seconds,
#: until it is ordered again: an earlier order may have been carried out late.
_DIFFERS_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Closing:
    """Until when a pool is left alone, and for how long that was."""

    until: float
    pause_s: float


@final
class PoolOrders:
    """The orders for one service during one tenure, in monotonic seconds."""

    __slots__ = ('_closings', '_ordered', '_same_at', '_needed_at')

    def __init__(self) -> None:
        """Start without an order: a predecessor's are not known."""
        self._closings: dict[Pool, _Closing] = {}
        self._ordered: dict[Pool, int] = {}
        self._same_at: dict[Pool, float] = {}
        self._needed_at: dict[Pool, float] = {}

    def list_closed(self, now: float) -> set[Pool]:
        """Return the pools that have no engine to give."""
        return {
            pool
            for pool, closing in self._closings.items()
            if now < closing.until
        }

    def choose(
        self,
        wanted: Sizes,
        present: Sizes,
        rules: ScalingRules,
        now: float,
    ) -> dict[Pool, int]:
        """Return the orders to send now."""
        self._note_seen(wanted, present, now)
        closed = self.list_closed(now)
        due = {
            pool: size
            for pool, size in wanted.items()
            if pool not in closed
            and self._is_due(pool, size, present.get(pool, 0), rules, now)
        }
        # Nothing is given back while what takes over is not there yet.
        booting = any(
            self._is_booting(other, present.get(other, 0), rules, now)
            for other in wanted
        )
        held_back = {
            pool
            for pool, size in due.items()
            if _gives_back(pool, size, present)
            and (booting or self._is_kept(pool, now))
        }
        return {
            pool: size for pool, size in due.items() if pool not in held_back
        }

    def record_ordered(self, pool: Pool, size: int, now: float) -> None:
        """Note an order that the platform took."""
        self._ordered[pool] = size
        self._same_at[pool] = now
        self._closings.pop(pool, None)

    def record_unavailable(self, pool: Pool, now: float) -> None:
        """Note that a pool has no engine to give; it is tried again later."""
        known = self._closings.get(pool)
        pause_s = 2 * known.pause_s if known else _CLOSED_S
        pause_s = min(pause_s, _LONGEST_CLOSED_S)
        self._closings[pool] = _Closing(now + pause_s, pause_s)

    def _note_seen(self, wanted: Sizes, present: Sizes, now: float) -> None:
        """Note which pools have the wanted size, and need all their engines."""
        for pool, size in wanted.items():
            there = present.get(pool, 0)
            if there == size:
                self._same_at[pool] = now
            if size >= max(there, self._ordered.get(pool, 0)):
                self._needed_at[pool] = now

    def _is_booting(
        self,
        pool: Pool,
        there: int,
        rules: ScalingRules,
        now: float,
    ) -> bool:
        """Whether engines that were ordered are not there yet."""
        since_s = now - self._same_at.get(pool, -math.inf)
        missing = there < self._ordered.get(pool, 0)
        return missing and since_s <= rules.boot_s + _DIFFERS_S

    def _is_due(
        self,
        pool: Pool,
        size: int,
        there: int,
        rules: ScalingRules,
        now: float,
    ) -> bool:
        """Whether a pool has not the wanted size, nor is on its way to it."""
        ordered = self._ordered.get(pool)
        if there == size:
            return ordered is not None and ordered != size
        if ordered != size:
            return True
        overdue_s = now - self._same_at.get(pool, now)
        return overdue_s > rules.boot_s + _DIFFERS_S

    def _is_kept(self, pool: Pool, now: float) -> bool:
        """Whether engines on demand stay for a while, needed or not."""
        ordered = pool in self._ordered
        needed_at = self._needed_at.get(pool, -math.inf)
        return ordered and now - needed_at < _KEPT_S


def _gives_back(pool: Pool, size: int, present: Sizes) -> bool:
    """Whether an order would end engines on demand."""
    return pool.kind is CapacityKind.ON_DEMAND and size < present.get(pool, 0)
