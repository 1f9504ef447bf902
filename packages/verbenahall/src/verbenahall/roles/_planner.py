"""Decides when engines change roles.

It is unknown how long a new mix of requests will last. The planner therefore
accumulates the regret: the useful work, in engine-seconds, that the current
roles have lost compared with the best ones. Roles change when the regret
reaches the cost of the change. A shift of demand that ends earlier causes no
change, and one that lasts costs at most twice as much as if its duration had
been known (ski rental problem).
"""

import collections
import itertools
import math
from collections.abc import Iterator
from typing import Final

from verbenahall.fleet import Role
from verbenahall.roles._capacity import (
    compute_engines_needed,
    compute_served_share,
)
from verbenahall.roles._messages import (
    Counts,
    EngineStatus,
    Observation,
    Plan,
    Profile,
)

#: Maximum planned utilisation of the engines.
_UTILISATION: Final = 0.85
#: Half-life of the regret in seconds while the current roles are the best.
_REGRET_HALF_LIFE_S: Final = 15.0
#: Maximum time in seconds for which one step adds regret, so that a pause of
#: the process adds none for demand that was not observed.
_MAX_STEP_S: Final = 2.0
#: Maximum age of a demand in seconds; an older one is ignored.
_MAX_DEMAND_AGE_S: Final = 20.0
#: One decision changes at most one engine in this many.
_CHANGE_FRACTION: Final = 4
#: Decimal places to which useful work is compared, so that rounding errors
#: cause no role change.
_WORK_DIGITS: Final = 6


class PlannerState:
    """The accumulated regret of one pool, in engine-seconds."""

    __slots__ = ('regret', 'updated')

    def __init__(self, now: float) -> None:
        """Start with no regret."""
        self.regret: float = 0
        self.updated = now


def decide(
    state: PlannerState,
    observation: Observation,
    profile: Profile,
    now: float,
) -> Plan:
    """Return the target roles, and add the regret of the last step.

    They are the current roles unless the regret has reached the cost.
    """
    current = count_roles(observation)
    elapsed_s = min(now - state.updated, _MAX_STEP_S)
    state.updated = now
    if observation.demand.age_s > _MAX_DEMAND_AGE_S:
        state.regret = 0
        return _keep_roles(observation, state, 'no recent demand')
    best = find_best(current, observation, profile)
    best_work = _compute_useful_work(best, observation, profile)
    shortfall = best_work - _compute_useful_work(current, observation, profile)
    _add_regret(state, shortfall, elapsed_s)
    cost = _compute_change_cost(current, best, observation, profile)
    if best == current:
        return _keep_roles(observation, state, 'the current roles are the best')
    if state.regret < cost:
        return _keep_roles(
            observation, state, 'the regret is below the cost', cost
        )
    plan = Plan(
        roles=_assign_roles(observation, best),
        changes=current.changes_to(best),
        reason=f'the best roles for the demand are {best}',
        regret=state.regret,
        cost=cost,
    )
    state.regret = 0
    return plan


def count_roles(observation: Observation) -> Counts:
    """Count the pool's engines by role."""
    roles = collections.Counter(engine.role for engine in observation.engines)
    return Counts(
        prefill=roles[Role.PREFILL],
        decode=roles[Role.DECODE],
        mixed=roles[Role.MIXED],
    )


def find_best(
    current: Counts, observation: Observation, profile: Profile
) -> Counts:
    """Return the reachable counts with the most useful work.

    Of equal ones, the counts with the fewest changes are returned.
    """
    return max(
        _list_reachable(current, observation.floor),
        key=lambda counts: (
            round(
                _compute_useful_work(counts, observation, profile), _WORK_DIGITS
            ),
            -current.changes_to(counts),
        ),
    )


def _list_reachable(current: Counts, floor: int) -> Iterator[Counts]:
    """Yield all allowed counts within the maximum number of changes."""
    max_changes = math.ceil(current.total / _CHANGE_FRACTION)
    steps = range(-max_changes, max_changes + 1)
    for prefill_change, decode_change in itertools.product(steps, steps):
        counts = Counts(
            current.prefill + prefill_change,
            current.decode + decode_change,
            current.mixed - prefill_change - decode_change,
        )
        if (
            _is_allowed(counts, floor)
            and current.changes_to(counts) <= max_changes
        ):
            yield counts


def _is_allowed(counts: Counts, floor: int) -> bool:
    """Whether enough engines can decode and at least one can prefill."""
    if min(counts.prefill, counts.decode, counts.mixed) < 0:
        return False
    able_to_prefill = counts.prefill + counts.mixed
    able_to_decode = counts.decode + counts.mixed
    return able_to_decode >= min(floor, counts.total) and able_to_prefill > 0


def _compute_useful_work(
    counts: Counts, observation: Observation, profile: Profile
) -> float:
    """Return the demand that is served, in engines."""
    share = (
        compute_served_share(counts, observation.demand, profile) * _UTILISATION
    )
    return min(1, share) * compute_engines_needed(observation.demand, profile)


def _add_regret(
    state: PlannerState, shortfall: float, elapsed_s: float
) -> None:
    decay = math.exp(-elapsed_s * math.log(2) / _REGRET_HALF_LIFE_S)
    if shortfall > 0:
        state.regret += shortfall * elapsed_s
    else:
        state.regret *= decay


def _compute_change_cost(
    current: Counts,
    best: Counts,
    observation: Observation,
    profile: Profile,
) -> float:
    """Return the weighted engine-seconds that the role changes cost.

    Each change counts twice: when the shift of demand ends, the engines
    change back.
    """
    weight = observation.change_weight / observation.goodput_weight
    return 2 * current.changes_to(best) * profile.change_s * weight


def _keep_roles(
    observation: Observation,
    state: PlannerState,
    reason: str,
    cost: float = 0,
) -> Plan:
    roles = {engine.name: engine.role for engine in observation.engines}
    return Plan(roles, 0, reason, state.regret, cost)


def _assign_roles(observation: Observation, target: Counts) -> dict[str, Role]:
    """Return a role for each engine; the least busy engines change."""
    vacancies = {
        Role.PREFILL: target.prefill,
        Role.DECODE: target.decode,
        Role.MIXED: target.mixed,
    }
    roles: dict[str, Role] = {}
    reassigned: list[str] = []
    for engine in sorted(observation.engines, key=_sort_key):
        if vacancies[engine.role] > 0:
            vacancies[engine.role] -= 1
            roles[engine.name] = engine.role
        else:
            reassigned.append(engine.name)
    vacant_roles = (
        role for role, count in vacancies.items() for _ in range(count)
    )
    roles.update(zip(reassigned, vacant_roles, strict=True))
    return roles


def _sort_key(engine: EngineStatus) -> tuple[int, str]:
    return -engine.running, engine.name
