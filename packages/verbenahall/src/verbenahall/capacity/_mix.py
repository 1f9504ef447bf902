"""The cheapest safe mix of engines over data centres and kinds.

All spot engines of a data centre are reclaimed at once, and no new ones are
available there for a while. A mix is safe if enough engines remain when the
data centres with most spot engines lose theirs.
"""

import dataclasses
import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final, TypeVar

from verbenahall.capacity._messages import CapacityKind, Pool, Sizes
from verbenahall.capacity._size import MIN_SIZE
from verbenahall.catalog import ScalingRules

#: Largest number of data centres without spot engines at the same time: while
#: one gets no new ones, another may lose its own.
MAX_RECLAIMED: Final = 2
#: Limits on the spot engines of a data centre for which mixes are compared.
#: With twice as many, a decision would take up to 14 ms at 15 data centres.
_MAX_LIMITS: Final = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Availability:
    """What a mix has to respect beside the rules.

    ``caller_centres`` are the data centres with callers, ``closed`` the pools
    that do not accept orders now, and ``exhausted`` those that have not for so
    long that the mix must do without them. ``reclaimed`` are the spot pools
    that have lost all engines a short time ago, ``refused`` the pools that have
    not accepted the last order, and ``booting`` is how many engines each pool
    will have in addition within the boot time.
    """

    caller_centres: Collection[str] = ()
    closed: Collection[Pool] = ()
    exhausted: Collection[Pool] = ()
    reclaimed: Collection[Pool] = ()
    refused: Collection[Pool] = ()
    booting: Sizes = dataclasses.field(default_factory=dict)

    @property
    def missing(self) -> frozenset[Pool]:
        """The pools in which no more engines can be counted on."""
        return frozenset((*self.reclaimed, *self.refused))


_ALL_AVAILABLE: Final = Availability()
_Key = TypeVar('_Key')


@dataclasses.dataclass(frozen=True, slots=True)
class _Mix:
    """The engines of each kind by data centre."""

    on_demand: Mapping[str, int]
    spot: Mapping[str, int]
    rules: ScalingRules

    def count_safe(self) -> int:
        """Return how many engines remain after the largest losses."""
        return sum(self.on_demand.values()) + count_safe(self.spot.values())

    def rank(self, needed: int) -> tuple[int, float]:
        """Return the sort key of a mix; the lowest is the best one.

        It is the number of missing engines, then the price per unit of time.
        """
        return max(0, needed - self.count_safe()), self._find_cost()

    def list_sizes(self) -> dict[Pool, int]:
        """Return the size of each pool."""
        kinds = (
            (CapacityKind.ON_DEMAND, self.on_demand),
            (CapacityKind.SPOT, self.spot),
        )
        return {
            Pool(centre, kind): count
            for kind, counts in kinds
            for centre, count in counts.items()
        }

    def _find_cost(self) -> float:
        return sum(
            self._find_cost_in(centre, price)
            for centre, price in self.rules.prices.items()
        )

    def _find_cost_in(self, centre: str, price: float) -> float:
        spot = self.rules.spot_share * self.spot[centre]
        return price * (self.on_demand[centre] + spot)


def list_centres(rules: ScalingRules) -> list[str]:
    """Return the data centres, cheapest first."""
    return sorted(rules.prices, key=rules.prices.__getitem__)


def count_safe(spot: Iterable[int], reclaimed: int = MAX_RECLAIMED) -> int:
    """Return how many spot engines remain after the largest losses."""
    counts = sorted(spot, reverse=True)
    return sum(counts[reclaimed:])


def choose_mix(
    rules: ScalingRules,
    needed: int,
    availability: Availability = _ALL_AVAILABLE,
) -> dict[Pool, int]:
    """Return the size of each pool in the cheapest safe mix.

    ``needed`` engines remain after two data centres have lost their spot
    engines. If the rules allow no such mix, the one with most engines left is
    returned.
    """
    mixes = [
        _build_mix(rules, needed, availability, limit)
        for limit in _list_limits(rules, needed)
    ]
    return min(mixes, key=lambda mix: mix.rank(needed)).list_sizes()


def _list_limits(rules: ScalingRules, needed: int) -> Iterator[int]:
    """Yield limits on the spot engines of a data centre, 0 included."""
    highest = min(rules.max_engines, max(needed, rules.min_engines, MIN_SIZE))
    step = max(1, math.ceil(highest / _MAX_LIMITS))
    yield from range(0, highest, step)
    yield highest


def _build_mix(
    rules: ScalingRules,
    needed: int,
    availability: Availability,
    limit: int,
) -> _Mix:
    """Return the cheapest mix with at most ``limit`` spot engines each."""
    floors = {
        centre: _find_floor(rules, centre, availability)
        for centre in list_centres(rules)
    }
    rooms = {
        centre: 0 if _is_exhausted(centre, availability) else limit
        for centre in floors
    }
    spot = _spread_spot(needed, limit, rooms, floors)
    return _Mix(_spread_on_demand(rules, needed, spot, floors), spot, rules)


def _spread_spot(
    needed: int,
    limit: int,
    rooms: Mapping[str, int],
    floors: Mapping[str, int],
) -> dict[str, int]:
    """Return the spot engines of each data centre.

    Those of two data centres are a reserve, and those of the others take part
    of the load.
    """
    spot = fill(needed + MAX_RECLAIMED * limit, rooms)
    if not count_safe(spot.values()):
        spot = dict.fromkeys(rooms, 0)
    return {
        centre: max(count, min(floors[centre], rooms[centre]))
        for centre, count in spot.items()
    }


def _spread_on_demand(
    rules: ScalingRules,
    needed: int,
    spot: Mapping[str, int],
    floors: Mapping[str, int],
) -> dict[str, int]:
    """Return the on-demand engines of each data centre.

    Together with the spot engines that remain after losses they are as many
    as needed, and with all spot engines no data centre is below its floor.
    """
    least = subtract_sizes(floors, spot)
    limits = dict.fromkeys(spot, rules.max_engines)
    rooms = subtract_sizes(limits, add_sizes(spot, least))
    remaining = count_safe(spot.values()) + sum(least.values())
    return add_sizes(least, fill(needed - remaining, rooms))


def _find_floor(
    rules: ScalingRules, centre: str, availability: Availability
) -> int:
    """Return the least number of engines of a data centre."""
    has_callers = centre in availability.caller_centres
    floor = max(rules.min_engines, MIN_SIZE if has_callers else 0)
    return min(floor, rules.max_engines)


def _is_exhausted(centre: str, availability: Availability) -> bool:
    return Pool(centre, CapacityKind.SPOT) in availability.exhausted


def plan_sizes(
    rules: ScalingRules,
    needed: int,
    present: Sizes,
    availability: Availability = _ALL_AVAILABLE,
) -> dict[Pool, int]:
    """Return the target size of each pool, given the present sizes.

    On-demand engines that the mix does not include are kept while its spot
    engines are missing, and new ones are ordered if fewer than ``needed``
    engines would serve after the boot time otherwise.
    """
    mix = choose_mix(rules, needed, availability)
    missing = availability.missing
    kept = _keep_on_demand(rules, needed, mix, present, availability)
    sizes = add_sizes(mix, kept)
    coming = subtract_sizes(mix, present)
    expected = sum(
        present.get(pool, 0) + (pool not in missing) * coming[pool]
        for pool in list_pools(rules)
    )
    serving = _sum_kind(sizes, CapacityKind.ON_DEMAND) + expected
    rooms = {
        pool: _find_room(rules, pool.data_centre, present)
        for pool in list_pools(rules, CapacityKind.ON_DEMAND)
        if pool not in availability.closed
    }
    added = fill(needed - serving, rooms)
    return _respect_limits(rules, add_sizes(sizes, added), present)


def _keep_on_demand(
    rules: ScalingRules,
    needed: int,
    mix: Sizes,
    present: Sizes,
    availability: Availability,
) -> dict[Pool, int]:
    """Return the on-demand engines beyond the mix that are kept for now.

    They replace its spot engines that are missing, so that as many engines as
    needed remain if further data centres lose theirs.
    """
    further = max(0, MAX_RECLAIMED - len(availability.reclaimed))
    spot = [present.get(pool, 0) for pool in list_pools(rules)]
    planned = _sum_kind(mix, CapacityKind.ON_DEMAND)
    on_demand = {
        pool: present.get(pool, 0)
        for pool in list_pools(rules, CapacityKind.ON_DEMAND)
    }
    surplus = subtract_sizes(on_demand, mix)
    return fill(needed - count_safe(spot, further) - planned, surplus)


def _sum_kind(sizes: Sizes, kind: CapacityKind = CapacityKind.SPOT) -> int:
    counts = (size for pool, size in sizes.items() if pool.kind is kind)
    return sum(counts)


def add_sizes(
    left: Mapping[_Key, int], right: Mapping[_Key, int]
) -> dict[_Key, int]:
    """Return the sums by key."""
    sums = dict(left)
    for key, count in right.items():
        sums[key] = sums.get(key, 0) + count
    return sums


def subtract_sizes(
    left: Mapping[_Key, int], right: Mapping[_Key, int]
) -> dict[_Key, int]:
    """Return the differences by key of ``left``, at least 0."""
    return {
        key: max(0, left_count - right.get(key, 0))
        for key, left_count in left.items()
    }


def list_pools(
    rules: ScalingRules, kind: CapacityKind = CapacityKind.SPOT
) -> list[Pool]:
    """Return the pools of one kind, cheapest data centre first."""
    return [Pool(centre, kind) for centre in list_centres(rules)]


def _respect_limits(
    rules: ScalingRules, sizes: Sizes, present: Sizes
) -> dict[Pool, int]:
    """Return sizes with which no data centre has too many engines.

    On-demand engines that are still there take the room of spot engines.
    """
    limited = dict(sizes)
    for pool in list_pools(rules, CapacityKind.ON_DEMAND):
        spot_pool = Pool(pool.data_centre, CapacityKind.SPOT)
        taken = max(sizes[pool], present.get(pool, 0))
        room = max(0, rules.max_engines - taken)
        limited[spot_pool] = min(sizes[spot_pool], room)
    return limited


def _find_room(rules: ScalingRules, data_centre: str, present: Sizes) -> int:
    """Return how many more engines a data centre may have."""
    engines = sum(
        count
        for pool, count in present.items()
        if pool.data_centre == data_centre
    )
    return max(0, rules.max_engines - engines)


def fill(count: int, rooms: Mapping[_Key, int]) -> dict[_Key, int]:
    """Distribute ``count`` engines in order, up to the room of each key."""
    left = max(0, count)
    filled = {}
    for key, room in rooms.items():
        filled[key] = min(left, room)
        left -= filled[key]
    return filled
