"""Rules that involve several entries, checked after each change.

All rules hold for the whole tree after every accepted record, so only the
entries that a record changes and those that refer to them are checked again.
Names are checked in sorted order, so that every instance finds the same
violation first.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from verbenahall.settings._messages import (
    AdapterSettings,
    DrainSettings,
    ModelSettings,
    PoolSettings,
    Refusal,
    RefusalKind,
)
from verbenahall.settings._refusals import (
    find_latest_capacity_change,
    refuse_claimed_engine,
    refuse_foreign_drain,
    refuse_in_use,
    refuse_missing,
)
from verbenahall.settings._sections import ADAPTERS, MODELS, POOLS
from verbenahall.settings._state import Key, SettingsChange, SettingsState


class _AffectedNames:
    """Names of entries whose rules have to be checked again."""

    __slots__ = ('adapters', 'drains', 'floors', 'models', 'pools')

    def __init__(self) -> None:
        """Create empty sets."""
        self.models: set[str] = set()
        self.adapters: set[str] = set()
        self.pools: set[str] = set()
        self.drains: set[str] = set()
        # Pairs of data centre and model.
        self.floors: set[tuple[str, str]] = set()


def find_conflict(
    state: SettingsState,
    settings_changes: Sequence[SettingsChange],
) -> Refusal | None:
    """Return a refusal for the first broken rule, or ``None``."""
    affected = _AffectedNames()
    for change in settings_changes:
        for settings in (change.before, change.after):
            _add_affected(state, settings, affected)
    found = (refusal for check in _CHECKS for refusal in check(state, affected))
    return next(found, None)


def _add_affected(
    state: SettingsState, settings: object, affected: _AffectedNames
) -> None:
    match settings:
        case ModelSettings(name=name):
            affected.models.add(name)
            pools = _list_pools(state, state.model_users.get(name, ()))
            affected.floors.update((pool.data_centre, name) for pool in pools)
        case AdapterSettings(name=name):
            affected.adapters.add(name)
            users = state.adapter_users.get(name, ())
            affected.pools.update(user for _, user in users)
        case PoolSettings(name=name):
            affected.pools.add(name)
            affected.floors.update(_list_floors(settings))
        case DrainSettings(endpoint=endpoint):
            affected.drains.add(endpoint)
            for pool_name in state.engine_pools.get(endpoint, ()):
                drained_pool = state.effective.pools[pool_name]
                affected.floors.update(_list_floors(drained_pool))


def _list_floors(pool: PoolSettings) -> Iterator[tuple[str, str]]:
    return ((pool.data_centre, model) for model in pool.models)


def _list_pools(
    state: SettingsState,
    users: Iterable[Key],
) -> list[PoolSettings]:
    return [
        state.effective.pools[name]
        for section, name in sorted(users)
        if section == POOLS
    ]


def _check_models(
    state: SettingsState,
    affected: _AffectedNames,
) -> Iterator[Refusal]:
    for name in sorted(affected.models):
        if name not in state.effective.models:
            users = state.model_users.get(name, ())
            yield from refuse_in_use(state, f'model {name}', users)


def _check_adapters(
    state: SettingsState,
    affected: _AffectedNames,
) -> Iterator[Refusal]:
    for name in sorted(affected.adapters):
        adapter = state.effective.adapters.get(name)
        if adapter is None:
            users = state.adapter_users.get(name, ())
            yield from refuse_in_use(state, f'adapter {name}', users)
        elif adapter.model not in state.effective.models:
            yield refuse_missing(state, MODELS, adapter.model)


def _check_pools(
    state: SettingsState,
    affected: _AffectedNames,
) -> Iterator[Refusal]:
    for name in sorted(affected.pools):
        pool = state.effective.pools.get(name)
        if pool is not None:
            yield from _check_references(state, pool)
            yield from _check_engines(state, pool)


def _check_references(
    state: SettingsState,
    pool: PoolSettings,
) -> Iterator[Refusal]:
    for model in pool.models:
        if model not in state.effective.models:
            yield refuse_missing(state, MODELS, model)
    for name in pool.adapters:
        adapter = state.effective.adapters.get(name)
        if adapter is None:
            yield refuse_missing(state, ADAPTERS, name)
        elif adapter.model not in pool.models:
            yield Refusal(
                RefusalKind.MISSING_REFERENCE,
                f'pool {pool.name} has adapter {name} without its model '
                + adapter.model,
                state.entries[(ADAPTERS, name)].offset,
            )


def _check_engines(
    state: SettingsState,
    pool: PoolSettings,
) -> Iterator[Refusal]:
    roles = pool.prefill + pool.decode
    if roles > len(pool.engines):
        yield Refusal(
            RefusalKind.TOO_MANY_ROLES,
            f'pool {pool.name} has {len(pool.engines)} engines '
            + f'for {roles} prefill and decode roles',
        )
    for engine in pool.engines:
        for other in state.engine_pools[engine]:
            if other != pool.name:
                yield refuse_claimed_engine(state, engine, pool.name, other)
        drain = state.effective.drains.get(engine)
        if drain and drain.team != pool.team:
            yield refuse_foreign_drain(state, drain, pool)


def _check_drains(
    state: SettingsState,
    affected: _AffectedNames,
) -> Iterator[Refusal]:
    for endpoint in sorted(affected.drains):
        drain = state.effective.drains.get(endpoint)
        for name in state.engine_pools.get(endpoint, ()):
            pool = state.effective.pools[name]
            if drain and drain.team != pool.team:
                yield refuse_foreign_drain(state, drain, pool)


def _check_floors(
    state: SettingsState,
    affected: _AffectedNames,
) -> Iterator[Refusal]:
    """Check that each model has at least ``floor`` undrained engines.

    The floor applies in each data centre that has a pool with the model. A
    data centre without one is not meant to serve the model.
    """
    for data_centre, name in sorted(affected.floors):
        model = state.effective.models.get(name)
        pools = [
            pool
            for pool in _list_pools(state, state.model_users.get(name, ()))
            if pool.data_centre == data_centre
        ]
        free = sum(_count_free(state, pool) for pool in pools)
        if model and pools and free < model.floor:
            yield Refusal(
                RefusalKind.BELOW_FLOOR,
                f'model {name} would have {free} engines in {data_centre}; '
                + f'its floor is {model.floor}',
                find_latest_capacity_change(state, name, pools),
            )


def _count_free(state: SettingsState, pool: PoolSettings) -> int:
    drains = state.effective.drains
    return sum(engine not in drains for engine in pool.engines)


_Check = Callable[[SettingsState, _AffectedNames], Iterator[Refusal]]
_CHECKS: Final[tuple[_Check, ...]] = (
    _check_models,
    _check_adapters,
    _check_pools,
    _check_drains,
    _check_floors,
)
