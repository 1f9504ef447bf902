"""Verdicts on records, which depend only on the log up to the record."""

from typing import Any, Final

from returns.result import Failure

from verbenahall.records import SETTINGS_STREAM, Record
from verbenahall.settings._checks import find_conflict
from verbenahall.settings._messages import (
    Change,
    Publication,
    Refusal,
    RefusalKind,
    Verdict,
)
from verbenahall.settings._publications import (
    check_value,
    decode_publication,
    split_path,
)
from verbenahall.settings._state import (
    MAX_IDENTITIES,
    MAX_REMOVALS,
    Entry,
    Key,
    SettingsChange,
    SettingsState,
    find_entry,
    find_offset,
    make_key,
    put_entry,
)

#: Team and author in the verdict on a record that can't be decoded.
_ANONYMOUS: Final = '?'


def apply_record(state: SettingsState, record: Record) -> Verdict | None:
    """Check one record and apply its changes if they are accepted.

    Returns ``None`` for records of other streams, for offsets that have been
    applied already, and for a second copy of an append, which the client
    sends if the answer to the first was lost.
    """
    if record.stream != SETTINGS_STREAM or record.offset <= state.position:
        return None
    state.position = record.offset
    if record.identity in state.identities:
        return None
    state.identities[record.identity] = None
    _drop_oldest(state.identities, MAX_IDENTITIES)
    verdict = _evaluate(state, record)
    state.history.append(verdict)
    return verdict


def _evaluate(state: SettingsState, record: Record) -> Verdict:
    decoded = decode_publication(record.body)
    if isinstance(decoded, Failure):
        return Verdict(
            record.offset,
            record.identity,
            team=_ANONYMOUS,
            author=_ANONYMOUS,
            paths=(),
            refusal=decoded.failure(),
        )
    publication = decoded.unwrap()
    return Verdict(
        record.offset,
        record.identity,
        publication.team,
        publication.author,
        tuple(change.path for change in publication.changes),
        _apply_publication(state, publication, record.offset),
    )


def _apply_publication(
    state: SettingsState,
    publication: Publication,
    offset: int,
) -> Refusal | None:
    for change in publication.changes:
        refusal = _check_change(state, publication.team, change)
        if refusal:
            return refusal
    return _apply_changes(state, publication, offset)


def _apply_changes(
    state: SettingsState,
    publication: Publication,
    offset: int,
) -> Refusal | None:
    """Apply all changes, or undo them if a rule over entries is broken."""
    undo: list[tuple[Key, Entry | None]] = []
    settings_changes: list[SettingsChange] = []
    for change in publication.changes:
        key = make_key(change.path)
        undo.append((key, state.entries.get(key)))
        entry = _build_entry(publication.team, change, offset)
        settings_changes.extend(put_entry(state, key, entry))
    refusal = find_conflict(state, settings_changes)
    if refusal:
        for key, old in reversed(undo):
            put_entry(state, key, old)
        return refusal
    _record_removals(state, publication, offset)
    return None


def _build_entry(team: str, change: Change, offset: int) -> Entry | None:
    if change.value is None:
        return None
    name = change.path.rpartition('/')[2]
    return Entry(change.path, team, name, change.value, offset)


def _check_change(
    state: SettingsState,
    team: str,
    change: Change,
) -> Refusal | None:
    parts = split_path(change.path)
    if parts is None:
        return Refusal(RefusalKind.MALFORMED, f'{change.path!r} is no path')
    owner, section, name = parts
    if owner != team:
        return Refusal(
            RefusalKind.OUTSIDE_SUBTREE,
            f'{change.path} belongs to team {owner}, not to {team}',
        )
    existing = state.entries.get(make_key(change.path))
    if existing and existing.team != team:
        return Refusal(
            RefusalKind.NAME_TAKEN,
            f'{section} {name} is {existing.path}',
            existing.offset,
        )
    return _check_base(state, change) or _check_new_value(section, name, change)


def _check_base(state: SettingsState, change: Change) -> Refusal | None:
    current = find_offset(state, change.path)
    if change.base != current:
        return Refusal(
            RefusalKind.STALE_BASE,
            f'{change.path} was changed at offset {current}, '
            + f'after the base {change.base}',
            current,
        )
    if change.value is None and find_entry(state, change.path) is None:
        return Refusal(
            RefusalKind.MISSING_REFERENCE,
            f'{change.path} does not exist',
            current,
        )
    return None


def _check_new_value(section: str, name: str, change: Change) -> Refusal | None:
    if change.value is None:
        return None
    error = check_value(section, name, change.value)
    if not error:
        return None
    return Refusal(RefusalKind.INVALID_VALUE, f'{change.path}: {error}')


def _record_removals(
    state: SettingsState,
    publication: Publication,
    offset: int,
) -> None:
    for change in publication.changes:
        state.removals.pop(change.path, None)
        if change.value is None:
            state.removals[change.path] = offset
    _drop_oldest(state.removals, MAX_REMOVALS)


def _drop_oldest(table: dict[str, Any], max_rows: int) -> None:
    """Remove the oldest rows, the same ones on every instance."""
    while len(table) > max_rows:
        table.pop(next(iter(table)))
