"""Published settings: validation of changes and the values in force.

Each instance applies the same log records in the same order and so reaches
the same verdict on each of them::

    state = SettingsState()
    verdict = apply_record(state, record)  # None: no new settings record
    effective(state).models['drafter'].version
"""

from verbenahall.settings._messages import (
    AdapterSettings,
    Change,
    DrainSettings,
    EffectiveSettings,
    ModelSettings,
    PlannerSettings,
    PoolSettings,
    Publication,
    Refusal,
    RefusalKind,
    ServiceSettings,
    Verdict,
    WorkspaceSettings,
)
from verbenahall.settings._publications import (
    SECTIONS,
    check_value,
    encode_publication,
    split_path,
)
from verbenahall.settings._sections import PUBLISHED_SCHEMA
from verbenahall.settings._snapshots import SettingsFold, dump_verdict
from verbenahall.settings._state import (
    SettingsState,
    effective,
    find_offset,
    find_value,
    list_paths,
)
from verbenahall.settings._verdicts import apply_record

__all__ = (
    'PUBLISHED_SCHEMA',
    'SECTIONS',
    'AdapterSettings',
    'Change',
    'DrainSettings',
    'EffectiveSettings',
    'ModelSettings',
    'PlannerSettings',
    'PoolSettings',
    'Publication',
    'Refusal',
    'RefusalKind',
    'ServiceSettings',
    'SettingsFold',
    'SettingsState',
    'Verdict',
    'WorkspaceSettings',
    'apply_record',
    'check_value',
    'dump_verdict',
    'effective',
    'encode_publication',
    'find_offset',
    'find_value',
    'list_paths',
    'split_path',
)
