"""Plans how many engines of a pool prefill, decode or do both."""

from verbenahall.roles._demand import DemandState, note_arrival, read_demand
from verbenahall.roles._messages import (
    Counts,
    Demand,
    EngineNow,
    Observation,
    Plan,
    Profile,
)
from verbenahall.roles._planner import PlannerState, decide
from verbenahall.roles._shell import DEFAULT_PROFILE, RolePlanner
from verbenahall.roles._served import compute_served_share

__all__ = (
    'DEFAULT_PROFILE',
    'Counts',
    'Demand',
    'DemandState',
    'EngineNow',
    'Observation',
    'Plan',
    'PlannerState',
    'Profile',
    'RolePlanner',
    'compute_served_share',
    'decide',
    'note_arrival',
    'read_demand',
)
