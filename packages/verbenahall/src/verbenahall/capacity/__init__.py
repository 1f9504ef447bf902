"""Decides how many engines of which kind a service needs for its load."""

from verbenahall.capacity._messages import (
    CapacityKind,
    Demand,
    Demands,
    DemandSum,
    Pool,
    Sizes,
    decode_sum,
    encode_sum,
    export_demands,
    read_demands,
)
from verbenahall.capacity._meter import DemandMeter
from verbenahall.capacity._mix import (
    Availability,
    choose_mix,
    count_safe,
    plan_sizes,
)
from verbenahall.capacity._planner import CapacityPlanner
from verbenahall.capacity._rules import find_invalid_field
from verbenahall.capacity._size import ServiceTraits, count_engines
from verbenahall.capacity._table import DemandTable, add_tables

__all__ = (
    'Availability',
    'CapacityKind',
    'CapacityPlanner',
    'Demand',
    'DemandMeter',
    'DemandSum',
    'DemandTable',
    'Demands',
    'Pool',
    'ServiceTraits',
    'Sizes',
    'add_tables',
    'choose_mix',
    'count_engines',
    'count_safe',
    'decode_sum',
    'encode_sum',
    'export_demands',
    'find_invalid_field',
    'plan_sizes',
    'read_demands',
)
