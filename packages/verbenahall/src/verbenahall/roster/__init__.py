"""The endpoints that the store lists, and which of them may get requests."""

from verbenahall.roster._decisions import (
    RETURN_S,
    drop,
    note_cut_off,
    put,
    replace,
    was_cut_off,
)
from verbenahall.roster._messages import Entry, Listing
from verbenahall.roster._state import LAPSE_S, Roster, RosterRules

__all__ = (
    'Entry',
    'LAPSE_S',
    'RETURN_S',
    'Roster',
    'RosterRules',
    'Listing',
    'drop',
    'note_cut_off',
    'put',
    'replace',
    'was_cut_off',
)
