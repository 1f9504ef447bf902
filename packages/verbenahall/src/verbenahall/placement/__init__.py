"""Where a prompt is read and where its answer is generated, and why."""

from verbenahall.placement._decisions import Wish, place
from verbenahall.placement._ledger import Flight, Ledger, Totals
from verbenahall.placement._messages import Part, Plan, Work
from verbenahall.placement._roles import RoleChange, plan_roles
from verbenahall.placement._state import PlacementState

__all__ = (
    'Flight',
    'Ledger',
    'Part',
    'PlacementState',
    'Plan',
    'RoleChange',
    'Totals',
    'Wish',
    'Work',
    'place',
    'plan_roles',
)
