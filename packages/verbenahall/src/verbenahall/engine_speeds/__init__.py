"""Measures how fast engines are relative to the others of their service."""

from verbenahall.engine_speeds._group import ReportedFactor
from verbenahall.engine_speeds._log import log_factors
from verbenahall.engine_speeds._role_timer import (
    USUAL_ROLES,
    EngineUse,
    RoleTimer,
    ServiceRoles,
)
from verbenahall.engine_speeds._shared_time import SharedTime
from verbenahall.engine_speeds._table import MAX_FACTORS, EngineSpeeds
from verbenahall.engine_speeds._trackers import MAX_FACTOR, RatioTracker

__all__ = (
    'MAX_FACTOR',
    'MAX_FACTORS',
    'USUAL_ROLES',
    'EngineSpeeds',
    'EngineUse',
    'RatioTracker',
    'ReportedFactor',
    'RoleTimer',
    'ServiceRoles',
    'SharedTime',
    'log_factors',
)
