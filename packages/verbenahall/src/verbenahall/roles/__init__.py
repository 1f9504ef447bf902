"""Plans how many engines of a pool prefill, decode or do both."""

from verbenahall.roles._capacity import compute_served_share
from verbenahall.roles._demand import (
    DemandState,
    estimate_demand,
    record_arrival,
)
from verbenahall.roles._messages import (
    Counts,
    Demand,
    EngineStatus,
    Observation,
    Plan,
    Profile,
)
from verbenahall.roles._planner import PlannerState, decide
from verbenahall.roles._shell import DEFAULT_PROFILE, RolePlanner

__all__ = (
    'DEFAULT_PROFILE',
    'Counts',
    'Demand',
    'DemandState',
    'EngineStatus',
    'Observation',
    'Plan',
    'PlannerState',
    'Profile',
    'RolePlanner',
    'compute_served_share',
    'decide',
    'estimate_demand',
    'record_arrival',
)
