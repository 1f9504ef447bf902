"""Prompts go past a group of engines that is near its limit.

Prompts go to the group that has their prefix cached. While this group is near
its limit and another one is not, its callers would wait without need.
"""

from verbenahall.overflow._choice import (
    GroupOrder,
    StatusTable,
    order_groups,
)
from verbenahall.overflow._load import (
    GroupLoad,
    GroupStatus,
    accepts_spill,
    describe_load,
    record_objective,
    record_rejected,
    record_wait,
)

__all__ = (
    'GroupLoad',
    'GroupOrder',
    'GroupStatus',
    'StatusTable',
    'accepts_spill',
    'describe_load',
    'order_groups',
    'record_objective',
    'record_rejected',
    'record_wait',
)
