"""Explores the lease-and-order protocol by its own decision functions.

Two instances, a log, and one engine of each kind, in discrete time. The
explorer visits every state within its bounds; a walk takes one random
schedule through far wider bounds::

    explore(start_world(), Bounds(), PRODUCTION).violation  # None
"""

from verbenahall_standins.explorer._rules import (
    BLIND_FOLD,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Rules,
)
from verbenahall_standins.explorer._search import Report, explore, walk
from verbenahall_standins.explorer._world import Bounds, World, start_world

__all__ = (
    'BLIND_FOLD',
    'NO_LEASE_CHECK',
    'NO_READ_BACK',
    'PRODUCTION',
    'Bounds',
    'Report',
    'Rules',
    'World',
    'explore',
    'start_world',
    'walk',
)
