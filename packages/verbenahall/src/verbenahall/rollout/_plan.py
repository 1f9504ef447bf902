"""Plans which of the due engine changes start now."""

import collections
import dataclasses
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

from verbenahall.fleet import Role, Target
from verbenahall.orders import PlannedOrder
from verbenahall.rollout._messages import (
    EngineView,
    Reason,
    Rollout,
    RolloutLimits,
    Waiting,
)
from verbenahall.rollout._targets import find_targets
from verbenahall.settings import EffectiveSettings

_DEFAULT_LIMITS: Final = RolloutLimits()
_NO_ROLES: Final[Mapping[str, Role]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A due change of an engine; it fetches ``weight_gb`` gigabytes."""

    view: EngineView
    target: Target
    weight_gb: float


class _Capacity:
    """Capacity of the data centre with the changes planned so far.

    ``serving`` counts the engines that serve a model now, ``incoming`` those
    that will serve it after their change. ``changes`` counts the engines that
    are changing, ``loads`` those of them that fetch weights.
    """

    __slots__ = ('changes', 'floors', 'incoming', 'loads', 'serving')

    def __init__(self, floors: Mapping[str, int]) -> None:
        self.floors = floors
        self.serving: collections.Counter[str] = collections.Counter()
        self.incoming: collections.Counter[str] = collections.Counter()
        self.loads = 0
        self.changes = 0


def plan(
    settings: EffectiveSettings,
    data_centre: str,
    engines: Sequence[EngineView],
    automatic: Mapping[str, Role] = _NO_ROLES,
    limits: RolloutLimits = _DEFAULT_LIMITS,
) -> Rollout:
    """Return which engines get a new target now, and which have to wait.

    The target of an engine covers all settings that differ, so that each
    engine gets one order for any number of changed settings. A change does
    not start if it would leave a model with fewer serving engines than its
    floor.
    """
    targets = find_targets(settings, data_centre, engines, automatic)
    capacity = _count_capacity(settings, targets, engines)
    changes = _list_changes(settings, targets, engines)
    orders: list[PlannedOrder] = []
    chosen = _choose_change(changes, capacity, limits)
    while chosen is not None:
        changes.remove(chosen)
        _reserve(chosen, capacity)
        orders.append(_make_order(chosen))
        chosen = _choose_change(changes, capacity, limits)
    blockers = (_find_blocker(left, capacity, limits) for left in changes)
    return Rollout(tuple(orders), tuple(filter(None, blockers)))


def _choose_change(
    changes: list[_Change],
    capacity: _Capacity,
    limits: RolloutLimits,
) -> _Change | None:
    changes.sort(key=lambda change: _rank(change, capacity))
    return next(
        (
            change
            for change in changes
            if _find_blocker(change, capacity, limits) is None
        ),
        None,
    )


def _count_capacity(
    settings: EffectiveSettings,
    targets: Mapping[str, Target],
    engines: Sequence[EngineView],
) -> _Capacity:
    wanted = {
        model for target in targets.values() for model, _ in target.models
    }
    capacity = _Capacity(
        {name: settings.models[name].floor for name in wanted},
    )
    for view in filter(_is_reachable, engines):
        if view.changing:
            _count_changing(settings, view, capacity)
        else:
            _count_unchanging(settings, view, capacity)
    return capacity


def _is_reachable(view: EngineView) -> bool:
    return view.reachable


def _count_unchanging(
    settings: EffectiveSettings,
    view: EngineView,
    capacity: _Capacity,
) -> None:
    held = [name for name, _ in view.holding.models]
    if view.just_changed:
        # Instances read the end of a change one after the other. If the next
        # engine changed at once, instances that have not read it yet would
        # have no engine for the model and reject requests.
        capacity.incoming.update(held)
    elif view.name not in settings.drains:
        capacity.serving.update(held)


def _count_changing(
    settings: EffectiveSettings,
    view: EngineView,
    capacity: _Capacity,
) -> None:
    target = view.pending or view.holding
    capacity.changes += 1
    capacity.loads += bool(_compute_load_gb(settings, view.holding, target))
    capacity.incoming.update(name for name, _ in target.models)


def _list_changes(
    settings: EffectiveSettings,
    targets: Mapping[str, Target],
    engines: Sequence[EngineView],
) -> list[_Change]:
    return [
        _Change(
            view,
            targets[view.name],
            _compute_load_gb(settings, view.holding, targets[view.name]),
        )
        for view in engines
        if view.name in targets
        and targets[view.name] != (view.pending or view.holding)
    ]


def _compute_load_gb(
    settings: EffectiveSettings,
    holding: Target,
    target: Target,
) -> float:
    """Return how many gigabytes of weights an engine fetches for a target."""
    missing = set(target.models) - set(holding.models)
    return sum(
        settings.models[name].weight_gb
        for name, _ in missing
        if name in settings.models
    )


def _rank(
    change: _Change,
    capacity: _Capacity,
) -> tuple[int, float, str]:
    """Return the sort key by which changes are started.

    Changes that add a model without any engine come first, then those that
    add a model below its floor, as this allows other engines of the model to
    change. Among equals the smallest load comes first, because its engine is
    available again soonest.
    """
    held = {name for name, _ in change.view.holding.models}
    brought = [name for name, _ in change.target.models if name not in held]
    urgency = min((_rank_model(name, capacity) for name in brought), default=2)
    return urgency, change.weight_gb, change.view.name


def _rank_model(name: str, capacity: _Capacity) -> int:
    available = capacity.serving[name] + capacity.incoming[name]
    if available == 0:
        return 0
    return 1 if available < capacity.floors.get(name, 0) else 2


def _find_blocker(
    change: _Change,
    capacity: _Capacity,
    limits: RolloutLimits,
) -> Waiting | None:
    view = change.view
    if not view.reachable:
        return Waiting(view.name, Reason.UNREACHABLE)
    if view.running:
        return Waiting(view.name, Reason.RUNNING)
    if view.resting:
        return Waiting(view.name, Reason.RESTING)
    if view.pending is not None:
        return None
    if capacity.changes >= limits.changes:
        return Waiting(view.name, Reason.CHANGES)
    if change.weight_gb and capacity.loads >= limits.loads:
        return Waiting(view.name, Reason.LOADS)
    return _find_floor(change, capacity)


def _find_floor(change: _Change, capacity: _Capacity) -> Waiting | None:
    for name, _ in change.view.holding.models:
        if capacity.serving[name] <= capacity.floors.get(name, 0):
            return Waiting(change.view.name, Reason.FLOOR, name)
    return None


def _reserve(change: _Change, capacity: _Capacity) -> None:
    if change.view.pending is not None:
        return
    capacity.changes += 1
    capacity.loads += bool(change.weight_gb)
    capacity.serving.subtract(name for name, _ in change.view.holding.models)
    capacity.incoming.update(name for name, _ in change.target.models)


def _make_order(change: _Change) -> PlannedOrder:
    return PlannedOrder(
        change.view.name,
        change.view.incarnation,
        change.target,
    )
