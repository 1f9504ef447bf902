"""Schema of each section, and functions that build its settings."""

import dataclasses
import functools
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenahall.schema import Field, Member, Named, Table
from verbenahall.settings._messages import (
    AdapterSettings,
    DrainSettings,
    ModelSettings,
    PlannerSettings,
    PoolSettings,
    ServiceSettings,
    WorkspaceSettings,
)

ADAPTERS: Final = 'adapters'
DEFAULTS: Final = 'defaults'
DRAINS: Final = 'drains'
MODELS: Final = 'models'
PLANNER: Final = 'planner'
POOLS: Final = 'pools'
#: Name of the planner entry; each team has one planner.
PLANNER_NAME: Final = 'main'

NAME_PATTERN: Final = '[a-z0-9][a-z0-9_.-]{0,62}'
_NAME: Final = Field(str, pattern=NAME_PATTERN)
_VERSION: Final = Field(str, pattern='[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
_NAMES: Final = Field(list, default=[])
_COUNT: Final = Field(int, default=0, minimum=0, maximum=1000)
_WEIGHT: Final = Field(float, default=1.0, minimum=0, maximum=1000)
_MIN_SHARE: Final = 0.01
_SHARE: Final = Field(float, default=1.0, minimum=_MIN_SHARE, maximum=1000)
_DEFAULT_QUEUE: Final = 128
_MAX_QUEUE: Final = 100_000
_QUEUE: Final = Field(
    int,
    default=_DEFAULT_QUEUE,
    minimum=1,
    maximum=_MAX_QUEUE,
)


@dataclasses.dataclass(frozen=True)
class Section:
    """One kind of entry.

    ``members`` is the schema of a value. ``build`` returns the settings in
    force from an entry's name, its value merged with defaults, and its team.
    """

    members: Mapping[str, Member]
    build: Callable[[str, Mapping[str, Any], str], Any]

    @functools.cached_property
    def optional(self) -> Mapping[str, Any]:
        """The optional members with the schema's defaults."""
        return {
            name: member.default
            for name, member in self.members.items()
            if not member.required
        }


def _build_pool(
    name: str,
    merged: Mapping[str, Any],
    team: str,
) -> PoolSettings:
    lists = {
        member: tuple(merged[member])
        for member in ('engines', 'models', 'adapters')
    }
    return PoolSettings(**{**merged, **lists, 'name': name, 'team': team})


SECTIONS: Final[Mapping[str, Section]] = MappingProxyType(
    {
        MODELS: Section(
            {'version': _VERSION, 'floor': _COUNT, 'weight_gb': _WEIGHT},
            lambda name, merged, team: ModelSettings(name, team=team, **merged),
        ),
        ADAPTERS: Section(
            {'model': _NAME, 'version': _VERSION},
            lambda name, merged, team: AdapterSettings(
                name,
                team=team,
                **merged,
            ),
        ),
        POOLS: Section(
            {
                'data_centre': _NAME,
                'engines': Field(list),
                'models': _NAMES,
                'adapters': _NAMES,
                'prefill': _COUNT,
                'decode': _COUNT,
                'automatic': Field(bool, default=False),
            },
            _build_pool,
        ),
        'workspaces': Section(
            {
                'share': _SHARE,
                'queue': _QUEUE,
            },
            lambda name, merged, team: WorkspaceSettings(
                name,
                team=team,
                **merged,
            ),
        ),
        DRAINS: Section(
            {'reason': Field(str, default='')},
            lambda name, merged, team: DrainSettings(
                name,
                team=team,
                **merged,
            ),
        ),
        'services': Section(
            {'repeatable': _NAMES},
            lambda name, merged, team: ServiceSettings(
                name,
                tuple(merged['repeatable']),
                team,
            ),
        ),
        PLANNER: Section(
            {'goodput_weight': _WEIGHT, 'change_weight': _WEIGHT},
            lambda name, merged, team: PlannerSettings(**merged),
        ),
    },
)


def entry_schema(section: str) -> Table:
    """Return the schema of one entry of a section."""
    return Table(SECTIONS[section].members)


def defaults_schema(section: str) -> Table:
    """Return the schema of a team's defaults: its optional members."""
    members = SECTIONS[section].members
    optional = {
        name: member for name, member in members.items() if not member.required
    }
    return Table(optional)


#: Schema of a file for ``verbenactl publish``: sections of named entries.
PUBLISHED_SCHEMA: Final = Table(
    {
        **{name: Named(entry_schema(name)) for name in SECTIONS},
        DEFAULTS: Table({name: defaults_schema(name) for name in SECTIONS}),
    },
)
