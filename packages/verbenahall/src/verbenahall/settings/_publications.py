"""Encoding of publications, and validation of single values."""

import re
from collections.abc import Mapping
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.schema import Source, Table, check_table
from verbenahall.settings._messages import (
    Change,
    Publication,
    Refusal,
    RefusalKind,
)
from verbenahall.settings._sections import (
    DEFAULTS,
    NAME_PATTERN,
    PLANNER,
    PLANNER_NAME,
    SECTIONS,
    defaults_schema,
    entry_schema,
)

_PATH: Final = re.compile(f'({NAME_PATTERN})/([a-z]+)/({NAME_PATTERN})')
_METHODS: Final = frozenset(
    ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'),
)
_CHANGE_KEYS: Final = frozenset(('path', 'base', 'value'))
_MAX_AUTHOR_LENGTH: Final = 128


def split_path(path: str) -> tuple[str, str, str] | None:
    """Split ``team/section/name``; ``None`` if the path is not valid."""
    match = _PATH.fullmatch(path)
    if match is None:
        return None
    team, section, name = match.groups()
    known = section in SECTIONS or (section == DEFAULTS and name in SECTIONS)
    return (team, section, name) if known else None


def encode_publication(publication: Publication) -> dict[str, Any]:
    """Return the body of a publication's log record."""
    return {
        'team': publication.team,
        'author': publication.author,
        'changes': [
            {'path': change.path, 'base': change.base, 'value': change.value}
            for change in publication.changes
        ],
    }


def decode_publication(body: dict[str, Any]) -> Result[Publication, Refusal]:
    """Decode the body of a record, which may be malformed."""
    team = body.get('team')
    author = body.get('author')
    if not _is_name(team) or not _is_author(author):
        return _refuse_malformed('team and author must be given')
    rows = body.get('changes')
    if not isinstance(rows, list) or not rows:
        return _refuse_malformed('changes must be a list that is not empty')
    changes = tuple(_decode_change(row) for row in rows)
    if None in changes:
        return _refuse_malformed('a change needs path, base and value')
    paths = {change.path for change in changes if change}
    if len(paths) < len(changes):
        return _refuse_malformed('a path stands twice')
    return Success(Publication(team, author, changes))


def check_value(
    section: str,
    name: str,
    value: dict[str, Any],
) -> str:
    """Return an error in a value regardless of other entries, or ``''``."""
    if section == PLANNER and name != PLANNER_NAME:
        return f'the only planner entry is {PLANNER_NAME!r}'
    schema = _find_schema(section, name)
    checked = check_table(value, schema, Source(''))
    if isinstance(checked, Success):
        return _find_list_error(value)
    errors = (f'{fault.key}: {fault.message}' for fault in checked.failure())
    return '; '.join(errors)


def _find_schema(section: str, name: str) -> Table:
    if section == DEFAULTS:
        return defaults_schema(name)
    return entry_schema(section)


def _has_repeated(entries: list[str]) -> bool:
    return len(set(entries)) < len(entries)


def _find_list_error(value: Mapping[str, Any]) -> str:
    for member, entries in value.items():
        repeated = isinstance(entries, list) and _has_repeated(entries)
        if repeated:
            return f'{member}: an entry stands twice'
    methods = set(value.get('repeatable', ())) - _METHODS
    if methods:
        listed = ', '.join(sorted(methods))
        return f'repeatable: no HTTP method: {listed}'
    return ''


def _decode_change(row: Any) -> Change | None:
    if not isinstance(row, dict) or set(row) != _CHANGE_KEYS:
        return None
    change = Change(**row)
    # bool is a subclass of int: JSON's true would pass as the base 1.
    well_typed = (
        isinstance(change.path, str),
        isinstance(change.base, int) and not isinstance(change.base, bool),
        isinstance(change.value, dict | None),
    )
    return change if all(well_typed) else None


def _is_name(found: Any) -> bool:
    return isinstance(found, str) and bool(re.fullmatch(NAME_PATTERN, found))


def _is_author(found: Any) -> bool:
    return isinstance(found, str) and 0 < len(found) <= _MAX_AUTHOR_LENGTH


def _refuse_malformed(error: str) -> Result[Publication, Refusal]:
    return Failure(Refusal(RefusalKind.MALFORMED, error))
