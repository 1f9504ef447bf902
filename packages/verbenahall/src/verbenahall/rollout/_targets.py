"""Targets of engines according to the settings in force."""

from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from verbenahall.fleet import Adapter, Role, Target
from verbenahall.rollout._messages import EngineView
from verbenahall.settings import EffectiveSettings, PoolSettings

_NO_ROLES: Final[Mapping[str, Role]] = MappingProxyType({})


def find_targets(
    settings: EffectiveSettings,
    data_centre: str,
    engines: Sequence[EngineView],
    automatic: Mapping[str, Role] = _NO_ROLES,
) -> dict[str, Target]:
    """Return the target of each engine in ``engines`` that is in a pool.

    Drained engines get no target: they keep their state until they leave.
    ``automatic`` maps engines of automatic pools to their planned roles.
    """
    views = {view.name: view for view in engines}
    targets: dict[str, Target] = {}
    for pool in _list_pools(settings, data_centre):
        members = [
            views[name]
            for name in sorted(set(pool.engines))
            if _is_assignable(name, settings, views, targets)
        ]
        roles = _assign_roles(pool, members, automatic)
        for view in members:
            targets[view.name] = _build_target(
                settings,
                pool,
                roles[view.name],
            )
    return targets


def _list_pools(
    settings: EffectiveSettings,
    data_centre: str,
) -> Iterator[PoolSettings]:
    for _, pool in sorted(settings.pools.items()):
        if pool.data_centre == data_centre:
            yield pool


def _is_assignable(
    name: str,
    settings: EffectiveSettings,
    views: Mapping[str, EngineView],
    targets: Mapping[str, Target],
) -> bool:
    if name in settings.drains or name in targets:
        return False
    return name in views


def _assign_roles(
    pool: PoolSettings,
    members: Sequence[EngineView],
    automatic: Mapping[str, Role],
) -> dict[str, Role]:
    if pool.automatic:
        return {
            view.name: automatic.get(view.name, _current_role(view))
            for view in members
        }
    roles = {view.name: Role.MIXED for view in members}
    for role, count in (
        (Role.PREFILL, pool.prefill),
        (Role.DECODE, pool.decode),
    ):
        for name in _choose_members(members, roles, role, count):
            roles[name] = role
    return roles


def _choose_members(
    members: Sequence[EngineView],
    roles: Mapping[str, Role],
    role: Role,
    count: int,
) -> list[str]:
    """Choose engines for a role: first those that have it, then mixed ones.

    With another order, roles would be swapped between engines whenever the
    list of members changes, and each swap makes two engines unavailable for
    seconds.
    """
    free = [view for view in members if roles[view.name] is Role.MIXED]
    free.sort(
        key=lambda view: (
            _current_role(view) is not role,
            _current_role(view) is not Role.MIXED,
            view.name,
        ),
    )
    chosen = free[:count]
    return [view.name for view in chosen]


def _current_role(view: EngineView) -> Role:
    return (view.pending or view.holding).role


def _build_target(
    settings: EffectiveSettings,
    pool: PoolSettings,
    role: Role,
) -> Target:
    known = filter(settings.models.get, pool.models)
    models = {name: settings.models[name].version for name in known}
    adapters = tuple(_list_adapters(settings, pool, models))
    return Target(role, tuple(sorted(models.items())), adapters)


def _list_adapters(
    settings: EffectiveSettings,
    pool: PoolSettings,
    models: Mapping[str, str],
) -> Iterator[Adapter]:
    for name in sorted(set(pool.adapters)):
        adapter = settings.adapters.get(name)
        if adapter is not None and adapter.model in models:
            yield Adapter(name, adapter.model, adapter.version)
