"""Sizes of the pools of a service, by data centre and capacity kind.

All spot instances of a data centre are reclaimed at once, and no new ones are
available there for a while. So a service has a mix of both kinds: the cheapest
one of which enough engines are left if some data centres lose their spot
instances.
"""

import collections
import dataclasses
import math
from collections.abc import Collection
from typing import Final

from verbenahall.catalog import ScalingRules
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes

#: Largest number of data centres without spot instances at the same time:
#: while one gets no new ones, another may lose its own.
_MAX_RECLAIMED: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineMix:
    """Number of engines of each kind in each data centre.

    ``spot`` is infinite if no data centre would be left after reclaims.
    """

    on_demand: int
    spot: int | float


def choose_mix(rules: ScalingRules, base: int) -> EngineMix:
    """Return the cheapest mix that keeps ``base`` engines after reclaims."""
    centres = max(1, len(rules.prices))
    reclaimed = min(_MAX_RECLAIMED, max(1, centres - 1))
    max_on_demand = min(rules.max_engines, math.ceil(base / centres))
    mixes = [
        _add_spot(on_demand, base - centres * on_demand, centres - reclaimed)
        for on_demand in range(max_on_demand + 1)
    ]
    # If no mix fits, a mix without spot instances is returned, for which
    # nothing is ordered.
    return min(
        (mix for mix in mixes if mix.on_demand + mix.spot <= rules.max_engines),
        key=lambda mix: mix.on_demand + mix.spot * rules.spot_share,
        default=EngineMix(max_on_demand, 0),
    )


def _add_spot(on_demand: int, missing: int, left: int) -> EngineMix:
    """Return a mix with ``missing`` spot instances in ``left`` data centres.

    Every data centre gets the number that each of the ``left`` ones needs.
    """
    if missing <= 0:
        return EngineMix(on_demand, 0)
    spot = math.ceil(missing / left) if left else math.inf
    return EngineMix(on_demand, spot)


def list_pools(rules: ScalingRules, kind: CapacityKind) -> list[Pool]:
    """Return the pools of one kind, cheapest data centre first."""
    centres = sorted(rules.prices, key=rules.prices.__getitem__)
    return [Pool(centre, kind) for centre in centres]


def plan_sizes(
    rules: ScalingRules,
    base: int,
    present: Sizes,
    closed: Collection[Pool],
) -> dict[Pool, int]:
    """Return the target size of each pool; empty if nothing is to be ordered.

    ``base`` engines must serve at any time. ``present`` holds the current
    sizes, and ``closed`` the pools without available capacity. On-demand
    engines replace spot instances that are missing. A service for which spot
    instances would not be cheaper gets no orders.
    """
    mix = choose_mix(rules, base)
    if not mix.spot:
        return {}
    spot = list_pools(rules, CapacityKind.SPOT)
    serving = sum(present.get(pool, 0) for pool in spot)
    on_demand = _plan_on_demand(rules, mix, base - serving, present, closed)
    return {**_plan_spot(rules, mix, present, on_demand), **on_demand}


def _plan_spot(
    rules: ScalingRules,
    mix: EngineMix,
    present: Sizes,
    on_demand: Sizes,
) -> Sizes:
    """Return the sizes of the spot pools, given the on-demand pools."""
    sizes = {}
    for pool, wanted in on_demand.items():
        # The limit applies to both kinds together.
        room = rules.max_engines - max(wanted, present.get(pool, 0))
        spot_pool = Pool(pool.data_centre, CapacityKind.SPOT)
        sizes[spot_pool] = max(0, min(mix.spot, room))
    return sizes


def _plan_on_demand(
    rules: ScalingRules,
    mix: EngineMix,
    missing: int,
    present: Sizes,
    closed: Collection[Pool],
) -> Sizes:
    """Return the sizes of the on-demand pools.

    They exceed the mix by the number of missing engines. Existing engines are
    kept first, and new ones are added where they cost least.
    """
    pools = list_pools(rules, CapacityKind.ON_DEMAND)
    min_on_demand = max(mix.on_demand, rules.min_engines - mix.spot)
    further = missing - min_on_demand * len(pools)
    kept = _spread(
        further,
        {pool: max(0, present.get(pool, 0) - min_on_demand) for pool in pools},
    )
    rooms = {
        pool: _find_room(rules, pool.data_centre, present)
        for pool in pools
        if pool not in closed
    }
    added = _spread(further - sum(kept.values()), rooms)
    sizes = collections.Counter(dict.fromkeys(pools, min_on_demand))
    sizes.update(kept)
    sizes.update(added)
    return sizes


def _spread(count: int, rooms: Sizes) -> Sizes:
    """Distribute ``count`` engines over pools in order, up to their room."""
    left = max(0, count)
    sizes = {}
    for pool, room in rooms.items():
        sizes[pool] = min(left, room)
        left -= sizes[pool]
    return sizes


def _find_room(rules: ScalingRules, data_centre: str, present: Sizes) -> int:
    """Return how many more engines a data centre may have."""
    engines = sum(
        count
        for pool, count in present.items()
        if pool.data_centre == data_centre
    )
    return max(0, rules.max_engines - engines)
