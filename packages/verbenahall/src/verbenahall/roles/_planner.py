"""When roles change: once the loss of staying has paid for the change.

Nobody knows how long a new mix will stay. The planner adds up what the
present roles lose against the best ones (the regret, in engine-seconds) and
changes when that reaches the cost of the change: a swing that ends sooner
changes nothing, one that stays costs at most twice what perfect knowledge
would have (the rent-or-buy argument).
"""

import collections
import itertools
import math
from collections.abc import Iterator
from typing import Final

from verbenahall.fleet import Role
from verbenahall.roles._messages import (
    Counts,
    EngineNow,
    Observation,
    Plan,
    Profile,
)
from verbenahall.roles._served import engines_wanted, served_share

#: Engines are planned to be busy for this share of their time at most.
_UTILISATION: Final = 0.85
#: Regret halves in this time while the present roles are the best.
_REGRET_HALF_LIFE_S: Final = 15.0
#: Longest step over which regret is added: a planner that was paused must
#: not take the pause for observed loss.
_LONGEST_STEP_S: Final = 2.0
#: A demand older than this says nothing about the present mix.
_OLDEST_DEMAND_S: Final = 20.0
#: At most one engine in this many changes in one decision.
_CHANGE_FRACTION: Final = 4
#: Work is compared to this many digits, so that rounding moves no engine.
_WORK_DIGITS: Final = 6


class PlannerState:
    """One pool's regret so far."""

    __slots__ = ('regret', 'updated')

    def __init__(self, now: float) -> None:
        """Start with no regret."""
        self.regret: float = 0
        self.updated = now


def decide(
    state: PlannerState,
    seen: Observation,
    profile: Profile,
    now: float,
) -> Plan:
    """Return the roles wanted from now on; mostly the present ones."""
    present = count_roles(seen)
    step_s = min(now - state.updated, _LONGEST_STEP_S)
    state.updated = now
    if seen.demand.age_s > _OLDEST_DEMAND_S:
        state.regret = 0
        return _stay(seen, state, 'no recent demand')
    best = find_best(present, seen, profile)
    best_work = _useful_work(best, seen, profile)
    loss = best_work - _useful_work(present, seen, profile)
    _add_regret(state, loss, step_s)
    cost = _cost(present, best, seen, profile)
    if best == present:
        return _stay(seen, state, 'present roles are the best')
    if state.regret < cost:
        return _stay(seen, state, 'loss has not paid for the change', cost)
    plan = Plan(
        roles=_assign(seen, best),
        changes=present.changes_to(best),
        reason=f'demand wants {best}',
        regret=state.regret,
        cost=cost,
    )
    state.regret = 0
    return plan


def count_roles(seen: Observation) -> Counts:
    """Count the pool's engines by role."""
    roles = collections.Counter(engine.role for engine in seen.engines)
    return Counts(
        prefill=roles[Role.PREFILL],
        decode=roles[Role.DECODE],
        mixed=roles[Role.MIXED],
    )


def find_best(present: Counts, seen: Observation, profile: Profile) -> Counts:
    """Return the counts within reach with most useful work per change."""
    return max(
        _reachable(present, seen.floor),
        key=lambda counts: (
            round(_useful_work(counts, seen, profile), _WORK_DIGITS),
            -present.changes_to(counts),
        ),
    )


def _reachable(present: Counts, floor: int) -> Iterator[Counts]:
    """Yield every counts that a bounded number of changes leads to."""
    reach = math.ceil(present.total / _CHANGE_FRACTION)
    steps = range(-reach, reach + 1)
    for more_prefill, more_decode in itertools.product(steps, steps):
        counts = Counts(
            present.prefill + more_prefill,
            present.decode + more_decode,
            present.mixed - more_prefill - more_decode,
        )
        if _is_allowed(counts, floor) and present.changes_to(counts) <= reach:
            yield counts


def _is_allowed(counts: Counts, floor: int) -> bool:
    """Keep a floor able to decode, and someone able to prefill."""
    if min(counts.prefill, counts.decode, counts.mixed) < 0:
        return False
    able_to_prefill = counts.prefill + counts.mixed
    able_to_decode = counts.decode + counts.mixed
    return able_to_decode >= min(floor, counts.total) and able_to_prefill > 0


def _useful_work(counts: Counts, seen: Observation, profile: Profile) -> float:
    """Return served work in engines, with a full share worth all of it."""
    share = served_share(counts, seen.demand, profile) * _UTILISATION
    return min(1, share) * engines_wanted(seen.demand, profile)


def _add_regret(state: PlannerState, loss: float, step_s: float) -> None:
    decay = math.exp(-step_s * math.log(2) / _REGRET_HALF_LIFE_S)
    if loss > 0:
        state.regret += loss * step_s
    else:
        state.regret *= decay


def _cost(
    present: Counts,
    best: Counts,
    seen: Observation,
    profile: Profile,
) -> float:
    """Return the engine-seconds that the change takes, as weighted.

    A swing ends, and then the engines change back, so each change is paid
    for twice.
    """
    weight = seen.change_weight / seen.goodput_weight
    return 2 * present.changes_to(best) * profile.change_s * weight


def _stay(
    seen: Observation,
    state: PlannerState,
    reason: str,
    cost: float = 0,
) -> Plan:
    roles = {engine.name: engine.role for engine in seen.engines}
    return Plan(roles, 0, reason, state.regret, cost)


def _assign(seen: Observation, wanted: Counts) -> dict[str, Role]:
    """Give each engine a role, changing the least busy ones."""
    room = {
        Role.PREFILL: wanted.prefill,
        Role.DECODE: wanted.decode,
        Role.MIXED: wanted.mixed,
    }
    roles: dict[str, Role] = {}
    moving: list[str] = []
    for engine in sorted(seen.engines, key=_busiest_first):
        if room[engine.role] > 0:
            room[engine.role] -= 1
            roles[engine.name] = engine.role
        else:
            moving.append(engine.name)
    free = (role for role, count in room.items() for _ in range(count))
    roles.update(zip(moving, free, strict=True))
    return roles


def _busiest_first(engine: EngineNow) -> tuple[int, str]:
    return -engine.running, engine.name
