"""Which engine gets which target next, and the loop that sees to it."""

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
