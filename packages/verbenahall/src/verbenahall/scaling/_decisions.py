"""How many engines of each kind are wanted, data centre by data centre.

Spot instances are all taken back from a data centre at once, and none are to
be had there for a while. So engines are a mix of both kinds of which enough
are left when some data centres lose their spot instances, at the least cost.
"""

import collections
import dataclasses
import math
from collections.abc import Collection
from typing import Final

from verbenahall.catalog import ScalingRules
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes

#: Data centres whose spot instances may be gone at the same time, at most:
#: one gets no new ones for a while, and the next may follow.
_MOST_GONE: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineMix:
    """How many engines of each kind a data centre has."""

    on_demand: int
    spot: int | float


def choose_mix(rules: ScalingRules, base: int) -> EngineMix:
    """Return the cheapest mix of which ``base`` engines outlive reclaims."""
    centres = max(1, len(rules.prices))
    gone = min(_MOST_GONE, max(1, centres - 1))
    most = min(rules.most, math.ceil(base / centres))
    mixes = [
        _complete(on_demand, base - centres * on_demand, centres - gone)
        for on_demand in range(most + 1)
    ]
    # Without any that fits, none is given up that is there.
    return min(
        (mix for mix in mixes if mix.on_demand + mix.spot <= rules.most),
        key=lambda mix: mix.on_demand + mix.spot * rules.spot_share,
        default=EngineMix(most, 0),
    )


def _complete(on_demand: int, missing: int, left: int) -> EngineMix:
    """Add the spot instances of which ``missing`` are left in some centres."""
    if missing <= 0:
        return EngineMix(on_demand, 0)
    spot = math.ceil(missing / left) if left else math.inf
    return EngineMix(on_demand, spot)


def list_pools(rules: ScalingRules, kind: CapacityKind) -> list[Pool]:
    """Return the pools of one kind, the cheapest data centre first."""
    centres = sorted(rules.prices, key=rules.prices.__getitem__)
    return [Pool(centre, kind) for centre in centres]


def plan_sizes(
    rules: ScalingRules,
    base: int,
    present: Sizes,
    closed: Collection[Pool],
) -> dict[Pool, int]:
    """Return the wanted size of each pool that is to be ordered.

    ``base`` engines are to serve at any time. ``closed`` pools have no engine
    to give at the moment. On-demand engines make up for what is missing. A
    service that spot instances would not make cheaper is left as it is.
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
    """Plan the spot instances, beside the engines on demand."""
    sizes = {}
    for pool, wanted in on_demand.items():
        # The bound holds for both kinds together.
        room = rules.most - max(wanted, present.get(pool, 0))
        beside = Pool(pool.data_centre, CapacityKind.SPOT)
        sizes[beside] = max(0, min(mix.spot, room))
    return sizes


def _plan_on_demand(
    rules: ScalingRules,
    mix: EngineMix,
    missing: int,
    present: Sizes,
    closed: Collection[Pool],
) -> Sizes:
    """Plan the engines on demand, more than the mix where some are missing.

    Those that are there come before new ones, and new ones where they cost
    least.
    """
    pools = list_pools(rules, CapacityKind.ON_DEMAND)
    least = max(mix.on_demand, rules.least - mix.spot)
    further = missing - least * len(pools)
    kept = _spread(
        further,
        {pool: max(0, present.get(pool, 0) - least) for pool in pools},
    )
    rooms = {
        pool: _find_room(rules, pool.data_centre, present)
        for pool in pools
        if pool not in closed
    }
    added = _spread(further - sum(kept.values()), rooms)
    sizes = collections.Counter(dict.fromkeys(pools, least))
    sizes.update(kept)
    sizes.update(added)
    return sizes


def _spread(count: int, rooms: Sizes) -> Sizes:
    """Fill the pools one after the other, up to their room."""
    left = max(0, count)
    sizes = {}
    for pool, room in rooms.items():
        sizes[pool] = min(left, room)
        left -= sizes[pool]
    return sizes


def _find_room(rules: ScalingRules, data_centre: str, present: Sizes) -> int:
    """Return how many engines more a data centre may have."""
    there = sum(
        count
        for pool, count in present.items()
        if pool.data_centre == data_centre
    )
    return max(0, rules.most - there)
