"""Views of settings, history and decisions, limited to a subtree."""

import dataclasses
import itertools
import operator
from collections.abc import Iterable, Mapping
from typing import Any, Final

from verbenahall import journal
from verbenahall.admin._credentials import Principal
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

_Decisions = list[dict[str, Any]]


def view_settings(state: SettingsState, principal: Principal) -> dict[str, Any]:
    """Return the effective settings inside a principal's subtree."""
    settings = effective(state)
    view = {
        table: {
            name: dataclasses.asdict(entry)
            for name, entry in getattr(settings, table).items()
            if principal.may_read(f'{entry.team}/{table}/{name}')
        }
        for table in _TABLES
    }
    view[_PLANNER] = {
        team: dataclasses.asdict(planner)
        for team, planner in settings.planner.items()
        if principal.may_read(f'{team}/{_PLANNER}/main')
    }
    return {'position': state.position, **view}


def view_history(
    state: SettingsState,
    principal: Principal,
    path: str,
) -> dict[str, Any]:
    """Return the stored verdicts on a path and the paths below it."""
    verdicts = [
        _hide_paths(dump_verdict(verdict), principal)
        for verdict in state.history
        if _touches(verdict.paths, path)
    ]
    return {
        'path': path,
        'offset': find_offset(state, path),
        'value': find_value(state, path),
        'verdicts': verdicts,
    }


def _touches(paths: Iterable[str], path: str) -> bool:
    return any(
        changed == path or changed.startswith(f'{path}/') for changed in paths
    )


def _hide_paths(
    verdict: dict[str, Any], principal: Principal
) -> dict[str, Any]:
    readable = [path for path in verdict['paths'] if principal.may_read(path)]
    return {**verdict, 'paths': readable}


def collect_decisions(
    state: SettingsState, field: str, name: str
) -> _Decisions:
    """Return the stored decisions on a request or an engine, oldest first.

    For an engine these are its orders, its status and its pools' roles.
    """
    criteria = [(field, name)]
    if field == _ENGINE:
        pools = state.engine_pools.get(name, ())
        criteria += [('endpoint', name), *(('pool', pool) for pool in pools)]
    found = (journal.find_decisions(*pair) for pair in criteria)
    decisions = itertools.chain.from_iterable(found)
    return sorted(decisions, key=operator.itemgetter('at'))


def find_owner(state: SettingsState, decision: Mapping[str, Any]) -> str:
    """Return the team that a decision concerns, or empty text."""
    settings = effective(state)
    workspace = settings.workspaces.get(str(decision.get('workspace')))
    if workspace is not None:
        return workspace.team
    pools = state.engine_pools.get(str(decision.get(_ENGINE)), ())
    names = (*pools, str(decision.get('pool')))
    teams = (
        settings.pools[name].team for name in names if name in settings.pools
    )
    return next(teams, '')


def view_decisions(
    state: SettingsState,
    principal: Principal,
    decisions: Iterable[Mapping[str, Any]],
) -> list[Mapping[str, Any]]:
    """Return the decisions on the principal's team or on no team."""
    return [
        decision
        for decision in decisions
        if _may_read_decision(principal, find_owner(state, decision))
    ]


def _may_read_decision(principal: Principal, owner: str) -> bool:
    return not owner or owner == principal.team or principal.may_read(owner)
