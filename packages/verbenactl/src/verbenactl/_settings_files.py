"""Reads files of published settings; faults name their lines."""

import re
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.schema import Fault, Source, read_text
from verbenahall.settings import PUBLISHED_SCHEMA, check_value, split_path

#: Placeholder for the team, which a file's paths lack.
_ANY_TEAM: Final = 'team'

#: Values by ``section/name`` as in the file, without defaults.
Values = Mapping[str, dict[str, Any]]


def read_values(file: Path) -> Result[Values, tuple[Fault, ...]]:
    """Read a file of published settings, or return all of its faults."""
    try:
        text = file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        detail = f'cannot be read: {error}'
        return Failure((Fault(str(file), 1, '', detail),))
    checked = read_text(text, str(file), PUBLISHED_SCHEMA)
    if isinstance(checked, Failure):
        return checked
    values = _flatten(tomllib.loads(text))
    faults = tuple(_check_values(values, Source(str(file), text)))
    return Failure(faults) if faults else Success(values)


def _flatten(found: dict[str, Any]) -> Values:
    return {
        f'{section}/{name}': value
        for section, names in found.items()
        for name, value in names.items()
    }


def _check_values(values: Values, source: Source) -> Iterator[Fault]:
    for key, value in values.items():
        section, _, name = key.partition('/')
        place = f'{section}.{name}'
        if split_path(f'{_ANY_TEAM}/{key}') is None:
            yield source.fault(place, f'{name!r} is no name')
            continue
        detail = check_value(section, name, value)
        if detail:
            yield source.fault(place, detail)


def is_team_name(name: str) -> bool:
    """Whether a text is a valid team name."""
    return re.fullmatch('[a-z0-9][a-z0-9_.-]{0,62}', name) is not None
