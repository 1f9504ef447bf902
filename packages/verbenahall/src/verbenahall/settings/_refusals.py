"""Builds refusals for conflicts between entries.

A refusal names the earlier change with which the publication conflicts.
"""

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
    """Return the offset of the last earlier change to a model's capacity.

    Changes to the model, to its pools and to drains of their engines count;
    0 if there was none.
    """
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
    removed: str,
    users: Iterable[Key],
) -> Iterator[Refusal]:
    """Yield a refusal for each entry that still uses a removed one."""
    for key in sorted(users):
        entry = state.entries[key]
        yield Refusal(
            RefusalKind.IN_USE,
            f'{removed} is used by {entry.path}',
            entry.offset,
        )


def refuse_missing(state: SettingsState, section: str, name: str) -> Refusal:
    """Refuse a reference to a missing entry; its removal is the winner."""
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
    """Refuse an engine in two pools; the other pool is the winner."""
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
    """Refuse a drain of another team's engine; the older entry wins."""
    keys = ((DRAINS, drain.endpoint), (POOLS, pool.name))
    return Refusal(
        RefusalKind.FOREIGN_ENGINE,
        f'engine {drain.endpoint} is in the pool {pool.name} of team '
        + f'{pool.team} and drained by team {drain.team}',
        min(state.entries[key].offset for key in keys),
    )
