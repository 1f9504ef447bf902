"""Differences between a file and the published settings."""

from collections.abc import Iterator, Sequence
from typing import Final

from verbenactl._settings_files import Values
from verbenahall import wire
from verbenahall.settings import (
    Change,
    SettingsState,
    find_offset,
    find_value,
    list_paths,
)

#: Maximum size of the encoded changes in a record, in bytes; the rest of a
#: record's size is for team, author and identity.
_MAX_RECORD_BYTES: Final = 60_000
#: Sections in the order of publication: entries come before those that refer
#: to them, so that each record of a split file is valid by itself.
_SECTION_ORDER: Final = ('defaults', 'models', 'adapters', 'pools')


def list_changes(
    state: SettingsState,
    team: str,
    values: Values,
    *,
    prune: bool = False,
) -> tuple[Change, ...]:
    """Return the changes that bring the published settings to ``values``.

    With ``prune``, the team's entries that ``values`` lacks are removed.
    """
    wanted = {f'{team}/{key}': value for key, value in values.items()}
    changes = [
        Change(path, find_offset(state, path), wanted[path])
        for path in sorted(wanted, key=_get_sort_key)
        if find_value(state, path) != wanted[path]
    ]
    if prune:
        changes.extend(
            Change(path, find_offset(state, path), None)
            for path in reversed(list_paths(state, team))
            if path not in wanted
        )
    return tuple(changes)


def split_changes(changes: Sequence[Change]) -> Iterator[tuple[Change, ...]]:
    """Split changes into batches that each fit into one record."""
    batch: list[Change] = []
    length = 0
    for change in changes:
        size = len(wire.encode(change)) + 1
        if batch and length + size > _MAX_RECORD_BYTES:
            yield tuple(batch)
            batch = []
            length = 0
        batch.append(change)
        length += size
    if batch:
        yield tuple(batch)


def format_change(change: Change) -> str:
    """Return a line that shows one change."""
    if change.value is None:
        return f'- {change.path}'
    sign = '~' if change.base else '+'
    rendered = wire.encode(change.value).decode()
    return f'{sign} {change.path} {rendered}'


def _get_sort_key(path: str) -> tuple[int, str]:
    section = path.split('/')[1]
    known = section in _SECTION_ORDER
    return _SECTION_ORDER.index(section) if known else len(_SECTION_ORDER), path
