"""Plans which engine gets which target, and carries the plan out."""

from verbenahall.rollout._messages import (
    EngineView,
    Reason,
    Rollout,
    RolloutLimits,
    Waiting,
)
from verbenahall.rollout._plan import plan
from verbenahall.rollout._shell import Controller
from verbenahall.rollout._targets import find_targets

__all__ = (
    'Controller',
    'EngineView',
    'Reason',
    'Rollout',
    'RolloutLimits',
    'Waiting',
    'find_targets',
    'plan',
)
