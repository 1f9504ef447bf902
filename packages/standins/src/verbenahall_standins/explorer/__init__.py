"""Model checker of leases and orders that runs the product's own functions.

The model has two instances, a log and one engine, in discrete time; an
engine that checks fencing tokens and one that ignores them are explored
separately. ``explore`` visits every state within its bounds, ``walk`` follows
one random schedule through far wider bounds::

    state = make_initial_state(checks=True)
    explore(state, Bounds(), PRODUCTION).violation  # None
"""

from verbenahall_standins.explorer._rules import (
    NO_COMPARE_AND_SET,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Rules,
)
from verbenahall_standins.explorer._search import Report, explore, walk
from verbenahall_standins.explorer._state import (
    Bounds,
    SystemState,
    make_initial_state,
)

__all__ = (
    'NO_COMPARE_AND_SET',
    'NO_LEASE_CHECK',
    'NO_READ_BACK',
    'PRODUCTION',
    'Bounds',
    'Report',
    'Rules',
    'SystemState',
    'explore',
    'make_initial_state',
    'walk',
)
