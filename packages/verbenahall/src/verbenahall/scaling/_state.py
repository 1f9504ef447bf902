"""Orders that the holder of the duty has sent, and when it sends new ones."""

import dataclasses
import math
from typing import Final, final

from verbenahall.catalog import ScalingRules
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes

#: First and longest time, in seconds, for which no order is sent to a pool
#: without available capacity.
_FIRST_CLOSED_S: Final = 1.0
_MAX_CLOSED_S: Final = 4.0
#: Time in seconds for which on-demand engines are kept when they are no longer
#: needed, since data centres may lose their spot instances one after the other.
_ON_DEMAND_HOLD_S: Final = 10.0
#: Time in seconds beyond the boot time after which an order is repeated if the
#: pool has another size: an earlier order may have been carried out late.
_ORDER_SLACK_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Closure:
    """Until when a pool gets no orders, and the length of this pause."""

    until: float
    pause_s: float


@final
class PoolOrders:
    """Orders for one service while the duty is held; times are monotonic.

    ``_matched_at`` is when a pool last had its target size or got an order,
    ``_needed_at`` when all of its engines were last needed.
    """

    __slots__ = ('_closures', '_ordered', '_matched_at', '_needed_at')

    def __init__(self) -> None:
        """Start without an order: those of earlier holders are unknown."""
        self._closures: dict[Pool, _Closure] = {}
        self._ordered: dict[Pool, int] = {}
        self._matched_at: dict[Pool, float] = {}
        self._needed_at: dict[Pool, float] = {}

    def list_closed(self, now: float) -> set[Pool]:
        """Return the pools without available capacity."""
        return {
            pool
            for pool, closure in self._closures.items()
            if now < closure.until
        }

    def choose(
        self,
        wanted: Sizes,
        present: Sizes,
        rules: ScalingRules,
        now: float,
    ) -> dict[Pool, int]:
        """Return the orders to send now."""
        self._record_present(wanted, present, now)
        closed = self.list_closed(now)
        due = {
            pool: size
            for pool, size in wanted.items()
            if pool not in closed
            and self._is_due(pool, size, present.get(pool, 0), rules, now)
        }
        # No engine is removed while others that replace it are booting.
        booting = any(
            self._is_booting(other, present.get(other, 0), rules, now)
            for other in wanted
        )
        held_back = {
            pool
            for pool, size in due.items()
            if _removes_on_demand(pool, size, present)
            and (booting or self._is_held(pool, now))
        }
        return {
            pool: size for pool, size in due.items() if pool not in held_back
        }

    def record_ordered(self, pool: Pool, size: int, now: float) -> None:
        """Record an order that the platform accepted."""
        self._ordered[pool] = size
        self._matched_at[pool] = now
        self._closures.pop(pool, None)

    def record_unavailable(self, pool: Pool, now: float) -> None:
        """Record that a pool has no capacity; orders to it are paused."""
        known = self._closures.get(pool)
        pause_s = 2 * known.pause_s if known else _FIRST_CLOSED_S
        pause_s = min(pause_s, _MAX_CLOSED_S)
        self._closures[pool] = _Closure(now + pause_s, pause_s)

    def _record_present(
        self, wanted: Sizes, present: Sizes, now: float
    ) -> None:
        """Record which pools match their target and which need all engines."""
        for pool, size in wanted.items():
            engines = present.get(pool, 0)
            if engines == size:
                self._matched_at[pool] = now
            if size >= max(engines, self._ordered.get(pool, 0)):
                self._needed_at[pool] = now

    def _is_booting(
        self,
        pool: Pool,
        engines: int,
        rules: ScalingRules,
        now: float,
    ) -> bool:
        """Whether ordered engines are still booting."""
        since_s = now - self._matched_at.get(pool, -math.inf)
        missing = engines < self._ordered.get(pool, 0)
        return missing and since_s <= rules.boot_s + _ORDER_SLACK_S

    def _is_due(
        self,
        pool: Pool,
        size: int,
        engines: int,
        rules: ScalingRules,
        now: float,
    ) -> bool:
        """Whether a pool needs an order to reach its target size."""
        ordered = self._ordered.get(pool)
        if engines == size:
            return ordered is not None and ordered != size
        if ordered != size:
            return True
        overdue_s = now - self._matched_at.get(pool, now)
        return overdue_s > rules.boot_s + _ORDER_SLACK_S

    def _is_held(self, pool: Pool, now: float) -> bool:
        """Whether a pool's engines are kept as they were needed recently."""
        ordered = pool in self._ordered
        needed_at = self._needed_at.get(pool, -math.inf)
        return ordered and now - needed_at < _ON_DEMAND_HOLD_S


def _removes_on_demand(pool: Pool, size: int, present: Sizes) -> bool:
    """Whether an order would remove on-demand engines."""
    return pool.kind is CapacityKind.ON_DEMAND and size < present.get(pool, 0)
