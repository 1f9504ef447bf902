"""Plans how many engines of a pool prefill, decode or do both."""

from verbenahall.roles._demand import (
    DemandState,
    record_arrival,
    estimate_demand,
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
from verbenahall.roles._capacity import compute_served_share

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
    'record_arrival',
    'estimate_demand',
)
