"""What a reader may see of settings, history and decisions."""

import dataclasses
import itertools
import operator
from collections.abc import Iterable, Mapping
from typing import Any, Final

from verbenahall import journal
from verbenahall.admin._credentials import Reader
from verbenahall.settings import (
    SettingsState,
    dump_verdict,
    effective,
    find_offset,
    find_value,
)

_TABLES: Final = (
    'models',
    'adapters',
    'pools',
    'workspaces',
    'drains',
    'services',
)
_PLANNER: Final = 'planner'
_ENGINE: Final = 'engine'

_Lines = list[dict[str, Any]]


def view_settings(state: SettingsState, reader: Reader) -> dict[str, Any]:
    """Return the settings in force inside a reader's subtree."""
    settings = effective(state)
    view = {
        table: {
            name: dataclasses.asdict(entry)
            for name, entry in getattr(settings, table).items()
            if reader.may_read(f'{entry.team}/{table}/{name}')
        }
        for table in _TABLES
    }
    view[_PLANNER] = {
        team: dataclasses.asdict(planner)
        for team, planner in settings.planner.items()
        if reader.may_read(f'{team}/{_PLANNER}/main')
    }
    return {'position': state.position, **view}


def view_history(
    state: SettingsState,
    reader: Reader,
    path: str,
) -> dict[str, Any]:
    """Return the kept verdicts on a path or on what is below it."""
    verdicts = [
        _hide_paths(dump_verdict(verdict), reader)
        for verdict in state.history
        if _concerns(verdict.paths, path)
    ]
    return {
        'path': path,
        'offset': find_offset(state, path),
        'value': find_value(state, path),
        'verdicts': verdicts,
    }


def _concerns(paths: Iterable[str], path: str) -> bool:
    return any(
        changed == path or changed.startswith(f'{path}/') for changed in paths
    )


def _hide_paths(verdict: dict[str, Any], reader: Reader) -> dict[str, Any]:
    readable = [path for path in verdict['paths'] if reader.may_read(path)]
    return {**verdict, 'paths': readable}


def find_lines(state: SettingsState, field: str, name: str) -> _Lines:
    """Return the kept decisions on a request or an engine, oldest first.

    Of an engine, these are its orders, its standing and its pools' roles.
    """
    wanted = [(field, name)]
    if field == _ENGINE:
        pools = state.engine_pools.get(name, ())
        wanted += [('endpoint', name), *(('pool', pool) for pool in pools)]
    found = (journal.find_decisions(*pair) for pair in wanted)
    lines = itertools.chain.from_iterable(found)
    return sorted(lines, key=operator.itemgetter('at'))


def owner_of(state: SettingsState, line: Mapping[str, Any]) -> str:
    """Return the team that a decision concerns, or empty text."""
    settings = effective(state)
    workspace = settings.workspaces.get(str(line.get('workspace')))
    if workspace is not None:
        return workspace.team
    pools = state.engine_pools.get(str(line.get(_ENGINE)), ())
    names = (*pools, str(line.get('pool')))
    teams = (settings.pools[one].team for one in names if one in settings.pools)
    return next(teams, '')


def view_decisions(
    state: SettingsState,
    reader: Reader,
    lines: Iterable[Mapping[str, Any]],
) -> list[Mapping[str, Any]]:
    """Return the decisions that concern the reader's team or nobody's."""
    return [
        line for line in lines if _may_read_line(reader, owner_of(state, line))
    ]


def _may_read_line(reader: Reader, owner: str) -> bool:
    return not owner or owner == reader.team or reader.may_read(owner)
