"""Validates TOML files against a schema and reports all faults at once.

A fault names the file, the line, the key, and the expected and the actual
value; for an unknown key it names the most similar known one::

    SCHEMA = Table({'port': Field(int, minimum=1, maximum=65535)})
    check_table({'prot': 1}, SCHEMA, Source('a.toml', text))
"""

import collections
import dataclasses
import difflib
import re
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, Union

from returns.result import Failure, Result, Success

#: Default of a key that must be given.
_REQUIRED: Final = object()
#: Value of a key that is not in the file.
_ABSENT: Final = object()
_HEADER: Final = re.compile(r'^\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$')
_KEY: Final = re.compile(r'^\s*([A-Za-z0-9_."\'-]+)\s*=')
_TYPE_NAMES: Final[Mapping[type, str]] = MappingProxyType(
    {
        str: 'text',
        int: 'a whole number',
        float: 'a number',
        bool: 'true or false',
    },
)
_LIST_NAMES: Final[Mapping[type, str]] = MappingProxyType(
    {str: 'a list of texts', int: 'a list of whole numbers'},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A key: its type, default and bounds.

    For a list, ``entry`` is the type of its elements, and the bounds apply to
    its length.
    """

    kind: type
    default: Any = _REQUIRED
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    pattern: str = ''
    entry: type = str

    @property
    def required(self) -> bool:
        """Whether the key has no default."""
        return self.default is _REQUIRED


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table of known members; an ``open`` one may have other keys."""

    members: Mapping[str, 'Member']
    required: bool = False
    open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """A table with arbitrary keys whose values share a schema."""

    member: Table
    required: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """A list of tables that share a schema (``[[name]]``)."""

    member: Table
    required: bool = False


Member = Union[Field, Table, Named, Rows]

_MEMBER_NAMES: Final[Mapping[type, str]] = MappingProxyType(
    {Table: 'a table', Named: 'a table', Rows: 'a list of tables'},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a settings file."""

    file: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        """Render as ``file:line: key: message``."""
        return f'{self.file}:{self.line}: {self.key}: {self.message}'


class Source:
    """The source text of a table, to find the lines of faults."""

    __slots__ = ('file', '_lines')

    def __init__(self, file: str, text: str = '') -> None:
        """Index the lines of the dotted keys."""
        self.file = file
        self._lines = dict(_index_keys(text))

    def find_line(self, key: str) -> int:
        """Return the line of a dotted key or its nearest parent, or 1."""
        while key and key not in self._lines:
            key = key.rpartition('.')[0]
        return self._lines.get(key, 1)

    def fault(self, key: str, message: str) -> Fault:
        """Return a fault at the key's line."""
        return Fault(self.file, self.find_line(key), key, message)


def read_table(
    path: Path,
    schema: Table,
) -> Result[dict[str, Any], tuple[Fault, ...]]:
    """Read and check a TOML file; return it with defaults, or all faults."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Fault(str(path), 1, '', f'cannot be read: {error}'),))
    return read_text(text, str(path), schema)


def read_text(
    text: str,
    file: str,
    schema: Table,
) -> Result[dict[str, Any], tuple[Fault, ...]]:
    """Read and check TOML text; ``file`` is the name shown in faults."""
    try:
        found = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        number = _find_line(str(error), text)
        return Failure((Fault(file, number, '', f'not TOML: {error}'),))
    return check_table(found, schema, Source(file, text))


def _find_line(message: str, text: str) -> int:
    line = re.search(r'line (\d+)', message)
    if line:
        return int(line.group(1))
    return text.count('\n') + 1


def check_table(
    found: Mapping[str, Any],
    schema: Table,
    source: Source,
) -> Result[dict[str, Any], tuple[Fault, ...]]:
    """Check a decoded table; return it with defaults, or all faults."""
    faults: list[Fault] = []
    checked = _check_members(found, schema, source, '', faults)
    return Failure(tuple(faults)) if faults else Success(checked)


def _check_members(
    found: Mapping[str, Any],
    schema: Table,
    source: Source,
    prefix: str,
    faults: list[Fault],
) -> dict[str, Any]:
    unknowns = set(found) - set(schema.members)
    for unknown in () if schema.open else sorted(unknowns):
        message = _describe_unknown(unknown, schema)
        faults.append(source.fault(prefix + unknown, message))
    checked = {}
    for name, member in schema.members.items():
        given = found.get(name, _ABSENT)
        checked[name] = _check_member(
            given,
            member,
            source,
            prefix + name,
            faults,
        )
    return checked


def _describe_unknown(unknown: str, schema: Table) -> str:
    near = difflib.get_close_matches(unknown, schema.members, n=1, cutoff=0)
    hint = f'; the nearest known key is {near[0]!r}' if near else ''
    return f'unknown key{hint}'


def _check_member(
    found: Any,
    member: Member,
    source: Source,
    key: str,
    faults: list[Fault],
) -> Any:
    if found is _ABSENT:
        return _fill_missing(member, source, key, faults)
    match member:
        case Field():
            return _check_field(found, member, source, key, faults)
        case Table() if isinstance(found, dict):
            return _check_members(found, member, source, f'{key}.', faults)
        case Named() if isinstance(found, dict):
            return {
                name: _check_member(
                    row,
                    member.member,
                    source,
                    f'{key}.{name}',
                    faults,
                )
                for name, row in found.items()
            }
        case Rows() if isinstance(found, list):
            return [
                _check_member(
                    row,
                    member.member,
                    source,
                    f'{key}[{index}]',
                    faults,
                )
                for index, row in enumerate(found)
            ]
        case _:
            wanted = _MEMBER_NAMES[type(member)]
            faults.append(
                source.fault(key, f'expected {wanted}, found {found!r}'),
            )
            return None


def _fill_missing(
    member: Member,
    source: Source,
    key: str,
    faults: list[Fault],
) -> Any:
    if member.required:
        faults.append(source.fault(key, 'missing; this key must be given'))
        return None
    match member:
        case Field():
            return member.default
        case Table():
            return _check_members({}, member, source, f'{key}.', faults)
        case Named():
            return {}
        case Rows():
            return []


def _check_field(
    found: Any,
    field: Field,
    source: Source,
    key: str,
    faults: list[Fault],
) -> Any:
    message = _find_error(found, field)
    if message:
        faults.append(source.fault(key, f'{message}, found {found!r}'))
    return found


def _find_error(found: Any, field: Field) -> str:
    if not _has_declared_type(found, field):
        is_list = field.kind is list
        kind_name = (
            _LIST_NAMES[field.entry] if is_list else _TYPE_NAMES[field.kind]
        )
        return f'expected {kind_name}'
    if field.choices and found not in field.choices:
        choices = ', '.join(field.choices)
        return f'expected one of {choices}'
    if field.pattern and not re.fullmatch(field.pattern, found):
        return f'expected text matching {field.pattern}'
    return _find_bound_error(len(found) if field.kind is list else found, field)


def _find_bound_error(size: Any, field: Field) -> str:
    if field.minimum is not None and not size >= field.minimum:
        return f'expected at least {field.minimum}'
    if field.maximum is not None and not size <= field.maximum:
        return f'expected at most {field.maximum}'
    return ''


def _has_declared_type(found: Any, field: Field) -> bool:
    if field.kind is list:
        return isinstance(found, list) and all(
            _is_instance(entry, field.entry) for entry in found
        )
    return _is_instance(found, field.kind)


def _is_instance(found: Any, kind: type) -> bool:
    if isinstance(found, bool):
        return kind is bool
    if kind is float:
        return isinstance(found, int | float)
    return isinstance(found, kind)


def _index_keys(text: str) -> Iterator[tuple[str, int]]:
    """Yield each dotted key with its line; list rows are ``name[index]``."""
    prefix = ''
    counts: collections.Counter[str] = collections.Counter()
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header:
            prefix = _get_key_prefix(line, header.group(1), counts)
            yield prefix, number
        elif key:
            name = key.group(1).replace('"', '')
            yield (f'{prefix}.{name}' if prefix else name), number


def _get_key_prefix(
    line: str,
    header: str,
    counts: collections.Counter[str],
) -> str:
    prefix = header.replace('"', '')
    if not line.lstrip().startswith('[['):
        return prefix
    counts[prefix] += 1
    index = counts[prefix] - 1
    return f'{prefix}[{index}]'
