"""Refusals over several entries: the sentence and the change that won."""

from collections.abc import Iterable, Iterator

from verbenahall.settings._messages import (
    DrainSettings,
    PoolSettings,
    Refusal,
    RefusalKind,
)
from verbenahall.settings._sections import DRAINS, MODELS, POOLS
from verbenahall.settings._state import Key, SettingsState, find_removal


def find_latest_capacity_change(
    state: SettingsState,
    model: str,
    pools: Iterable[PoolSettings],
) -> int:
    """Return the last earlier change to a model's capacity in pools."""
    keys = {(MODELS, model)}
    for pool in pools:
        keys.add((POOLS, pool.name))
        keys.update((DRAINS, engine) for engine in pool.engines)
    offsets = (
        state.entries[key].offset for key in keys if key in state.entries
    )
    older = (offset for offset in offsets if offset < state.position)
    return max(older, default=0)


def refuse_in_use(
    state: SettingsState,
    what: str,
    users: Iterable[Key],
) -> Iterator[Refusal]:
    """Yield a refusal for each entry that names what is gone."""
    for key in sorted(users):
        entry = state.entries[key]
        yield Refusal(
            RefusalKind.IN_USE,
            f'{what} is used by {entry.path}',
            entry.offset,
        )


def refuse_missing(state: SettingsState, section: str, name: str) -> Refusal:
    """Refuse a name that no entry has; the winner is its removal."""
    return Refusal(
        RefusalKind.MISSING_REFERENCE,
        f'{section} {name} does not exist',
        find_removal(state, section, name),
    )


def refuse_claimed_engine(
    state: SettingsState,
    engine: str,
    pool: str,
    other: str,
) -> Refusal:
    """Refuse an engine of two pools; the other pool won."""
    return Refusal(
        RefusalKind.ENGINE_CLAIMED,
        f'engine {engine} is claimed by the pools {pool} and {other}',
        state.entries[(POOLS, other)].offset,
    )


def refuse_foreign_drain(
    state: SettingsState,
    drain: DrainSettings,
    pool: PoolSettings,
) -> Refusal:
    """Refuse a drain of another team's engine; the older entry won."""
    keys = ((DRAINS, drain.endpoint), (POOLS, pool.name))
    return Refusal(
        RefusalKind.FOREIGN_ENGINE,
        f'engine {drain.endpoint} is in the pool {pool.name} of team '
        + f'{pool.team} and drained by team {drain.team}',
        min(state.entries[key].offset for key in keys),
    )
