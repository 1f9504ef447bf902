"""Chooses the engines that prefill and decode a model request."""

from verbenahall.placement._decisions import PlacementRequest, place
from verbenahall.placement._dispatch import dispatch, enqueue
from verbenahall.placement._failures import FailureRates
from verbenahall.placement._load_table import InFlight, LoadTable, Totals
from verbenahall.placement._messages import (
    UNKNOWN_SOURCE,
    Part,
    Plan,
    PrefillSample,
    RequestSource,
    Work,
)
from verbenahall.placement._queue import (
    Admitted,
    PrefillQueue,
    QueuedRequest,
    QueueEffects,
)
from verbenahall.placement._role_planner import RoleObserver, RolePlanner
from verbenahall.placement._roles import RoleChange, plan_roles
from verbenahall.placement._slots import Fleet
from verbenahall.placement._state import OpenPrefill, PlacementState
from verbenahall.placement._streams import OpenStream

__all__ = (
    'UNKNOWN_SOURCE',
    'Admitted',
    'FailureRates',
    'Fleet',
    'InFlight',
    'LoadTable',
    'OpenPrefill',
    'OpenStream',
    'Part',
    'PlacementRequest',
    'PlacementState',
    'Plan',
    'PrefillQueue',
    'PrefillSample',
    'QueueEffects',
    'QueuedRequest',
    'RequestSource',
    'RoleChange',
    'RoleObserver',
    'RolePlanner',
    'Totals',
    'Work',
    'dispatch',
    'enqueue',
    'place',
    'plan_roles',
)
