"""Orders that the holder of the duty has sent, and when it sends new ones."""

import math
from collections.abc import Collection
from typing import Final, final

from verbenahall.capacity import Availability, CapacityKind, Pool, Sizes
from verbenahall.catalog import ScalingRules
from verbenahall.scaling._closures import PoolClosures
from verbenahall.scaling._losses import EngineLosses

#: Time in seconds for which on-demand engines are kept when they are no longer
#: needed, since data centres may lose their spot instances one after the other.
_ON_DEMAND_HOLD_S: Final = 10.0
#: Time in seconds beyond the boot time after which an order is repeated if the
#: pool has another size: an earlier order may have been carried out late.
_ORDER_SLACK_S: Final = 3.0
#: Time after a change of the holder in which no engines are given back, in
#: seconds: its predecessor knew the peaks of this time.
_RESUMED_S: Final = 20.0
#: Share of the engines that are given back at a time at most, and the time
#: between two such steps, in seconds: their streams end or move, and their
#: prompts' prefixes are prefilled elsewhere.
_MAX_SHRINK_SHARE: Final = 0.25
_SHRINK_INTERVAL_S: Final = 3.0


@final
class PoolOrders:
    """Orders for one service while the duty is held; times are monotonic.

    ``targets`` is the last order to each pool. ``_matched_at`` is when a pool
    last had its target size or got an order, ``_needed_at`` when all of its
    engines were last needed, ``_grown_at`` when engines were last ordered in
    addition, and ``_shrunk_at`` when any engines were last given back.
    """

    __slots__ = (
        'closures',
        'losses',
        'targets',
        '_grown_at',
        '_matched_at',
        '_needed_at',
        '_present',
        '_resumed_at',
        '_shrunk_at',
    )

    def __init__(self) -> None:
        """Start without an order."""
        self.closures = PoolClosures()
        self.losses = EngineLosses()
        self.targets: dict[Pool, int] = {}
        self._grown_at: dict[Pool, float] = {}
        self._matched_at: dict[Pool, float] = {}
        self._needed_at: dict[Pool, float] = {}
        self._present: Sizes = {}
        self._resumed_at = -math.inf
        self._shrunk_at = -math.inf

    def resume(self, targets: Sizes, now: float) -> None:
        """Continue the orders of the previous holder.

        Their outcome is awaited as if they had been sent now. Without this,
        all of them would be sent again at once, those for pools without
        capacity as well.
        """
        self.targets = dict(targets)
        self._matched_at = dict.fromkeys(targets, now)
        self._resumed_at = now

    def record_present(self, present: Sizes, now: float) -> None:
        """Record the present sizes."""
        self.losses.record_present(present, self.targets, now)
        self._present = dict(present)

    def describe(
        self,
        caller_centres: Collection[str],
        rules: ScalingRules,
        now: float,
    ) -> Availability:
        """Return what the sizes have to respect."""
        return Availability(
            caller_centres,
            self.closures.list_closed(now),
            self.closures.list_exhausted(now),
            self.losses.list_reclaimed(now),
            self.closures.list_refused(),
            self._list_booting(now - rules.boot_s - _ORDER_SLACK_S),
        )

    def choose(
        self, wanted: Sizes, rules: ScalingRules, now: float
    ) -> dict[Pool, int]:
        """Return the orders to send now.

        Engines are ordered at once, and given back in steps while nothing else
        changes.
        """
        self._record_needed(wanted, now)
        closed = self.closures.list_closed(now)
        due = {
            pool: size
            for pool, size in wanted.items()
            if pool not in closed and self._is_due(pool, size, rules, now)
        }
        growing = {
            pool: size
            for pool, size in due.items()
            if size >= self._find_current(pool)
        }
        if growing or not self._may_shrink(wanted, rules, now):
            return growing
        return _limit_shrink(
            {
                pool: size
                for pool, size in due.items()
                if not self._is_held(pool, now)
            },
            self._present,
            rules,
        )

    def record_ordered(self, pool: Pool, size: int, now: float) -> None:
        """Record an order that the platform accepted."""
        current = self._find_current(pool)
        if self.needs_capacity(pool, size):
            self._grown_at[pool] = now
        if size < current:
            self._shrunk_at = now
        self.targets[pool] = size
        self._matched_at[pool] = now
        self.closures.record_available(pool)

    def needs_capacity(self, pool: Pool, size: int) -> bool:
        """Whether an order asks for more engines than a pool has."""
        return size > self._present.get(pool, 0)

    def _list_booting(self, since: float) -> dict[Pool, int]:
        """Return the engines that were ordered in addition and will come."""
        booting = {}
        refused = self.closures.list_refused()
        for pool, at in self._grown_at.items():
            missing = self.targets[pool] - self._present.get(pool, 0)
            if at >= since and pool not in refused:
                booting[pool] = max(0, missing)
        return booting

    def _find_current(self, pool: Pool) -> int:
        """Return the size of a pool, with the engines that are ordered."""
        ordered = self.targets.get(pool, 0)
        return max(self._present.get(pool, 0), ordered)

    def _record_needed(self, wanted: Sizes, now: float) -> None:
        """Record which pools match their target and which need all engines."""
        for pool, size in wanted.items():
            if self._present.get(pool, 0) == size:
                self._matched_at[pool] = now
            if size >= self._find_current(pool):
                self._needed_at[pool] = now

    def _may_shrink(
        self, wanted: Sizes, rules: ScalingRules, now: float
    ) -> bool:
        """Whether engines may be given back now.

        Not while others boot, which may have to replace them, and not for a
        while after losses, or after a change of the holder, whose last orders
        may still be carried out.
        """
        pauses = (
            (self._shrunk_at, _SHRINK_INTERVAL_S),
            (self.losses.last_at, rules.boot_s),
            (self._resumed_at, max(_RESUMED_S, rules.boot_s + _ORDER_SLACK_S)),
        )
        if any(now - since < pause_s for since, pause_s in pauses):
            return False
        return not any(self._is_booting(pool, rules, now) for pool in wanted)

    def _is_booting(self, pool: Pool, rules: ScalingRules, now: float) -> bool:
        """Whether ordered engines are still booting."""
        matched_at = self._matched_at.get(pool, -math.inf)
        if self._present.get(pool, 0) >= self.targets.get(pool, 0):
            return False
        return now - matched_at <= rules.boot_s + _ORDER_SLACK_S

    def _is_due(
        self, pool: Pool, size: int, rules: ScalingRules, now: float
    ) -> bool:
        """Whether a pool needs an order to reach its target size."""
        ordered = self.targets.get(pool)
        if self._present.get(pool, 0) == size:
            return ordered not in {None, size}
        if ordered != size:
            return True
        overdue_s = now - self._matched_at.get(pool, now)
        return overdue_s > rules.boot_s + _ORDER_SLACK_S

    def _is_held(self, pool: Pool, now: float) -> bool:
        """Whether a pool's engines are kept as they were needed recently."""
        if pool.kind is CapacityKind.SPOT or pool not in self.targets:
            return False
        needed_at = self._needed_at.get(pool, -math.inf)
        return now - needed_at < _ON_DEMAND_HOLD_S


def _limit_shrink(
    shrinking: Sizes, present: Sizes, rules: ScalingRules
) -> dict[Pool, int]:
    """Return orders that give back the dearest engines, a share at most."""
    left = max(1, int(sum(present.values()) * _MAX_SHRINK_SHARE))
    limited = {}
    dearest_first = sorted(
        shrinking, key=lambda one: _find_price(rules, one), reverse=True
    )
    for pool in dearest_first:
        surplus = max(0, present.get(pool, 0) - shrinking[pool])
        removed = min(left, surplus)
        left -= removed
        # An order that only lowers the target removes no engine.
        if removed or not surplus:
            limited[pool] = shrinking[pool] + surplus - removed
    return limited


def _find_price(rules: ScalingRules, pool: Pool) -> float:
    price = rules.prices.get(pool.data_centre, 0)
    is_spot = pool.kind is CapacityKind.SPOT
    return price * rules.spot_share if is_spot else price
