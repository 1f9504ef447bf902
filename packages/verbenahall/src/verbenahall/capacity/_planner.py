"""The number of engines that a service will need, and its pools' sizes."""

import collections
import dataclasses
import math
from typing import Final, final

from verbenahall.capacity._messages import CapacityKind, Demand, Pool, Sizes
from verbenahall.capacity._meter import SMOOTHING_S
from verbenahall.capacity._mix import Availability, count_safe, plan_sizes
from verbenahall.capacity._size import (
    ServiceTraits,
    count_engines,
    count_prefill_engines,
)
from verbenahall.catalog import ScalingRules

#: Time in seconds without a new engine before the engines are counted.
_JOIN_SETTLE_S: Final = 1.5
#: Time for which the highest demand counts, in seconds: load that falls and
#: rises threefold within this time must not find too few engines.
_PEAK_S: Final = 20.0
#: Time for which a forecast counts, in seconds. A smaller size must have been
#: enough for this long before engines are given back.
_HOLD_S: Final = 10.0
#: Time of known traffic before engines are given back, in seconds.
_KNOWN_S: Final = 10.0
#: Time over which the trend of the demand is measured, in seconds.
_TREND_S: Final = 4.0
#: Time before that in which a demand as high as the present one means that it
#: swings rather than rises, in seconds: the mix of long and short prompts may
#: alternate every few seconds.
_SWING_S: Final = 12.0
#: Time of known traffic in which the smoothed rates rise by themselves, in
#: seconds, and the time before a trend counts, which must not include it.
_WARM_UP_S: Final = 3 * SMOOTHING_S
_TREND_WARM_UP_S: Final = _WARM_UP_S + _TREND_S
#: The same after a change of the holder, in seconds: until the instances that
#: send sums have read its name, and the time of a trend.
_RESUMED_WARM_UP_S: Final = 12.0
#: Standard deviations of random arrivals by which demand must have risen for a
#: trend. Only the rise beyond them counts.
_NOISE_DEVIATIONS: Final = 2.0
#: Highest rise that is forecast, as a share of the demand per second: that of
#: load that rises threefold within 20 s. The prompts of a queue that is served
#: at last are no trend.
_MAX_RISE_PER_S: Final = 0.1
#: Share of the time of prefill engines from which more may be in demand than is
#: sent, as prompts wait, and the growth that is assumed then. The sizes that
#: are ordered use at most 0.6 of it.
_SATURATED_SHARE: Final = 0.75
_SATURATED_GROWTH: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    """Demand at a time, and the engines for it and for its forecast.

    ``is_saturated`` is whether the engines that served had little time left.
    """

    at: float
    demand: Demand
    current: int
    forecast: int
    is_saturated: bool


@final
class CapacityPlanner:
    """Plans the pools of one service while the duty is held.

    Times are monotonic. ``needed`` is the number of engines that must serve at
    any time, 0 while no traffic is known.
    """

    __slots__ = (
        '_initial_size',
        '_listed',
        '_needs',
        '_planned_from',
        '_settled_at',
        '_trend_from',
    )

    def __init__(self) -> None:
        """Start without known traffic."""
        #: Engines that the start left for the traffic to come, 0 while unknown,
        #: and how many were listed, with the time since which.
        self._initial_size = 0
        self._listed = (0, -math.inf)
        self._needs: collections.deque[_Need] = collections.deque()
        #: When traffic is known for long enough to order the planned mix, to
        #: give engines back, and to measure trends; infinite before the first
        #: traffic.
        self._planned_from = math.inf
        self._settled_at = math.inf
        self._trend_from = math.inf

    def record_demand(
        self,
        demand: Demand,
        traits: ServiceTraits,
        rules: ScalingRules,
        engines: int,
        now: float,
    ) -> None:
        """Record the demand of all data centres, which ``engines`` serve."""
        if not self._is_known():
            if not demand.prefill_s:
                return
            self._settled_at = now + _KNOWN_S
            self._trend_from = now + _TREND_WARM_UP_S
            self._planned_from = now + _WARM_UP_S
        forecast = self._predict(demand, rules, now)
        limit_s = _SATURATED_SHARE * count_prefill_engines(engines)
        is_saturated = demand.prefill_s > limit_s
        if is_saturated:
            forecast = demand.times(_SATURATED_GROWTH)
        self._needs.append(
            _Need(
                now,
                demand,
                count_engines(demand, traits),
                count_engines(forecast, traits),
                is_saturated,
            ),
        )
        while self._needs[0].at < now - _PEAK_S:
            self._needs.popleft()

    def resume(self, demand: Demand, now: float) -> None:
        """Continue for a previous holder, which knew this demand.

        The sums of the data centres arrive one after the other, which is not a
        trend.
        """
        if demand.prefill_s:
            self._settled_at = now
            self._planned_from = now
            self._trend_from = now + _RESUMED_WARM_UP_S

    def find_needed(self, now: float) -> int:
        """Return the number of engines that must serve at any time.

        The size at the start was chosen for the load to come, so there are
        more only after engines were nearly saturated.
        """
        peak = max((need.current for need in self._needs), default=0)
        expected = max(
            (need.forecast for need in self._needs if need.at > now - _HOLD_S),
            default=0,
        )
        return self._limit(max(peak, expected))

    def plan(
        self,
        rules: ScalingRules,
        present: Sizes,
        availability: Availability,
        now: float,
    ) -> dict[Pool, int]:
        """Return the target sizes; empty if no pool is to change.

        The size at the start was chosen for the traffic to come, so until
        traffic is known for some seconds the cheapest mix that keeps it is
        planned. A holder that does not know that size only adds engines then.
        """
        if not self._is_known():
            return self._plan_initial(rules, present, availability, now)
        needed = self.find_needed(now)
        if now < self._settled_at:
            needed = max(needed, self._initial_size)
        if availability.reclaimed:
            # The reserve is in use. Load that rises now finds too few engines
            # before the reclaimed ones can be replaced.
            needed = self._limit(math.ceil(needed * _find_max_growth(rules)))
        available = sum(present.values()) + sum(availability.booting.values())
        is_early = now < self._planned_from and not self._initial_size
        if is_early and available >= needed:
            return {}
        sizes = plan_sizes(rules, needed, present, availability)
        if now >= self._settled_at or self._initial_size:
            return sizes
        return {
            pool: max(size, present.get(pool, 0))
            for pool, size in sizes.items()
        }

    def _limit(self, needed: int) -> int:
        """Limit a size to that at the start, unless engines were saturated."""
        is_saturated = any(need.is_saturated for need in self._needs)
        if is_saturated or not self._initial_size:
            return needed
        return min(needed, self._initial_size)

    def _is_known(self) -> bool:
        return self._settled_at < math.inf

    def _plan_initial(
        self,
        rules: ScalingRules,
        present: Sizes,
        availability: Availability,
        now: float,
    ) -> dict[Pool, int]:
        """Return the cheapest safe mix for the size at the start.

        Engines that start together are listed one after the other, so that
        size is known once none has been listed for a while.
        """
        count = sum(present.values())
        if count != self._listed[0]:
            self._listed = (count, now)
        if not self._initial_size and now - self._listed[1] >= _JOIN_SETTLE_S:
            self._initial_size = _count_safe(present)
        if not self._initial_size:
            return {}
        return plan_sizes(rules, self._initial_size, present, availability)

    def _predict(
        self, demand: Demand, rules: ScalingRules, now: float
    ) -> Demand:
        """Return the demand by its trend when ordered engines will serve."""
        earlier = [
            need.demand
            for need in self._needs
            if now - _SWING_S <= need.at <= now - _TREND_S
        ]
        if not earlier or now < self._trend_from:
            return demand
        steps = rules.boot_s / _TREND_S
        prefill_s = demand.prefill_s + steps * _find_rise(
            max(one.prefill_s for one in earlier),
            demand.prefill_s,
            math.sqrt(demand.prefill_s * demand.mean_prefill_s / SMOOTHING_S),
        )
        streams = demand.streams + steps * _find_rise(
            max(one.streams for one in earlier),
            demand.streams,
            math.sqrt(demand.streams),
        )
        highest = demand.times(_find_max_growth(rules))
        prefill_s = min(prefill_s, highest.prefill_s)
        growth = prefill_s / demand.prefill_s if demand.prefill_s else 1
        return Demand(
            prefill_s,
            min(streams, highest.streams),
            demand.prefills * growth,
        )


def _count_safe(present: Sizes) -> int:
    """Return how many engines remain after the largest losses."""
    spot = [
        count
        for pool, count in present.items()
        if pool.kind is CapacityKind.SPOT
    ]
    return sum(present.values()) - sum(spot) + count_safe(spot)


def _find_max_growth(rules: ScalingRules) -> float:
    """Return the factor by which demand may grow in a boot time."""
    return 1 + _MAX_RISE_PER_S * rules.boot_s


def _find_rise(before: float, after: float, deviation: float) -> float:
    """Return the rise beyond what random arrivals explain."""
    return max(0, after - before - _NOISE_DEVIATIONS * deviation)
