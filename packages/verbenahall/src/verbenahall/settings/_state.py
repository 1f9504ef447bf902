"""State built from the log: entries, settings in force, and indexes.

The checks use the indexes instead of a scan of all entries, so that a change
takes the same time among 16,000 entries as among 100.
"""

import dataclasses
from typing import Any, Final

from verbenahall.settings._history import History
from verbenahall.settings._messages import (
    AdapterSettings,
    EffectiveSettings,
    PoolSettings,
)
from verbenahall.settings._publications import split_path
from verbenahall.settings._sections import DEFAULTS, PLANNER, SECTIONS

#: Number of identities that are kept to detect duplicate appends. A duplicate
#: follows the original within seconds; a later one is refused because its base
#: is stale.
MAX_IDENTITIES: Final = 1024
#: Number of removed paths whose removal offset is kept.
MAX_REMOVALS: Final = 4096

#: ``(section, name)``; for planners and defaults ``name`` is ``team/name``.
Key = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One accepted value as published, without defaults."""

    path: str
    team: str
    name: str
    value: dict[str, Any]
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChange:
    """An entry's settings in force before and after a change."""

    before: Any
    after: Any


class SettingsState:
    """State after the settings records up to offset ``position``."""

    __slots__ = (
        'adapter_users',
        'effective',
        'engine_pools',
        'entries',
        'history',
        'identities',
        'model_users',
        'position',
        'removals',
        'team_entries',
    )

    def __init__(self) -> None:
        """Create the state before the first record."""
        self.position = 0
        self.entries: dict[Key, Entry] = {}
        self.effective = EffectiveSettings()
        self.history = History()
        self.identities: dict[str, None] = {}
        # Removed paths with the offset of their removal, oldest first.
        self.removals: dict[str, int] = {}
        # Indexes: keys of the adapters and pools of a model; keys of the
        # pools of an adapter; names of the pools of an engine; keys by
        # team and section.
        self.model_users: dict[str, set[Key]] = {}
        self.adapter_users: dict[str, set[Key]] = {}
        self.engine_pools: dict[str, tuple[str, ...]] = {}
        self.team_entries: dict[Key, set[Key]] = {}


def effective(state: SettingsState) -> EffectiveSettings:
    """Return the settings in force, an object that changes in place."""
    return state.effective


def make_key(path: str) -> Key:
    """Return the key of a path's entry.

    The team is part of the key of planners and defaults only; all other names
    are unique across teams.
    """
    team, section, name = path.split('/')
    if section in {DEFAULTS, PLANNER}:
        return section, f'{team}/{name}'
    return section, name


def find_entry(state: SettingsState, path: str) -> Entry | None:
    """Return the entry at a path, or ``None``."""
    if split_path(path) is None:
        return None
    entry = state.entries.get(make_key(path))
    return entry if entry and entry.path == path else None


def find_value(state: SettingsState, path: str) -> dict[str, Any] | None:
    """Return the value published at a path, without inherited members."""
    entry = find_entry(state, path)
    return entry.value if entry else None


def find_offset(state: SettingsState, path: str) -> int:
    """Return the ``base`` that the next change to a path must have."""
    entry = find_entry(state, path)
    return entry.offset if entry else state.removals.get(path, 0)


def find_removal(state: SettingsState, section: str, name: str) -> int:
    """Return the offset of the last removal of a name by any team, or 0."""
    ending = f'/{section}/{name}'
    offsets = (
        offset
        for path, offset in state.removals.items()
        if path.endswith(ending)
    )
    return max(offsets, default=0)


def list_paths(state: SettingsState, team: str) -> list[str]:
    """Return the paths of a team's entries, sorted."""
    return sorted(
        state.entries[key].path
        for section in (*SECTIONS, DEFAULTS)
        for key in state.team_entries.get((team, section), ())
    )


def put_entry(
    state: SettingsState,
    key: Key,
    entry: Entry | None,
) -> list[SettingsChange]:
    """Set or remove one entry; return the changes to settings in force.

    Calling it again with the previous entry undoes the change.
    """
    section, _ = key
    old = state.entries.pop(key, None) if entry is None else None
    old = old or state.entries.get(key)
    if old is not None:
        _remove_user(state.team_entries, (old.team, section), key)
    if entry is not None:
        state.entries[key] = entry
        state.team_entries.setdefault((entry.team, section), set()).add(key)
    if section != DEFAULTS:
        return [_update_effective(state, key)]
    team, _, inheriting = key[1].partition('/')
    inheriting_keys = sorted(state.team_entries.get((team, inheriting), ()))
    return [
        _update_effective(state, inheriting_key)
        for inheriting_key in inheriting_keys
    ]


def _update_effective(state: SettingsState, key: Key) -> SettingsChange:
    """Recompute the settings in force of one entry."""
    section, name = key
    table = getattr(state.effective, section)
    if section == PLANNER:
        name = name.partition('/')[0]
    before = table.get(name)
    _remove_from_indexes(state, key, before)
    entry = state.entries.get(key)
    if entry is None:
        table.pop(name, None)
        return SettingsChange(before, None)
    table[name] = _build(state, section, entry)
    _add_to_indexes(state, key, table[name])
    return SettingsChange(before, table[name])


def _build(state: SettingsState, section: str, entry: Entry) -> Any:
    defaults = state.entries.get((DEFAULTS, f'{entry.team}/{section}'))
    inherited = defaults.value if defaults else {}
    kind = SECTIONS[section]
    merged = {**kind.optional, **inherited, **entry.value}
    return kind.build(entry.name, merged, entry.team)


def _add_to_indexes(state: SettingsState, key: Key, settings: Any) -> None:
    match settings:
        case AdapterSettings(model=model):
            state.model_users.setdefault(model, set()).add(key)
        case PoolSettings(name=name):
            for model in settings.models:
                state.model_users.setdefault(model, set()).add(key)
            for adapter in settings.adapters:
                state.adapter_users.setdefault(adapter, set()).add(key)
            for engine in settings.engines:
                pools = state.engine_pools.get(engine, ())
                state.engine_pools[engine] = tuple(sorted({*pools, name}))


def _remove_from_indexes(state: SettingsState, key: Key, settings: Any) -> None:
    match settings:
        case AdapterSettings(model=model):
            _remove_user(state.model_users, model, key)
        case PoolSettings():
            for model in settings.models:
                _remove_user(state.model_users, model, key)
            for adapter in settings.adapters:
                _remove_user(state.adapter_users, adapter, key)
            for engine in settings.engines:
                _remove_pool(state, engine, settings.name)


def _remove_pool(state: SettingsState, engine: str, pool: str) -> None:
    rest = tuple(
        name for name in state.engine_pools.get(engine, ()) if name != pool
    )
    if rest:
        state.engine_pools[engine] = rest
    else:
        state.engine_pools.pop(engine, None)


def _remove_user(index: dict[Any, set[Key]], name: Any, key: Key) -> None:
    users = index.get(name, set())
    users.discard(key)
    if not users:
        index.pop(name, None)
