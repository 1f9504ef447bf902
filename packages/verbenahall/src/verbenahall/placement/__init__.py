"""Where a prompt is read and where its answer is generated, and why."""

from verbenahall.placement._decisions import Wish, place
from verbenahall.placement._ledger import Flight, Ledger, Totals
from verbenahall.placement._messages import Part, Plan, Work
from verbenahall.placement._queue import (
    Admitted,
    Turn,
    TurnEffects,
    TurnQueue,
)
from verbenahall.placement._roles import RoleChange, plan_roles
from verbenahall.placement._rooms import Fleet
from verbenahall.placement._state import PlacementState
from verbenahall.placement._turns import join, take_turns

__all__ = (
    'Admitted',
    'Fleet',
    'Flight',
    'Ledger',
    'Part',
    'PlacementState',
    'Plan',
    'RoleChange',
    'Totals',
    'Turn',
    'TurnEffects',
    'TurnQueue',
    'Wish',
    'Work',
    'join',
    'place',
    'plan_roles',
    'take_turns',
)
