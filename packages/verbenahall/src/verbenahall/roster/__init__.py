"""The endpoints that the store lists, and which of them may get requests."""

from verbenahall.roster._decisions import (
    STORE_RECOVERY_S,
    apply_removal,
    record_store_outage,
    apply_entry,
    apply_list,
    had_store_outage,
)
from verbenahall.roster._messages import Entry, Listing
from verbenahall.roster._state import LAPSE_GRACE_S, Roster, RosterRules

__all__ = (
    'Entry',
    'LAPSE_GRACE_S',
    'STORE_RECOVERY_S',
    'Roster',
    'RosterRules',
    'Listing',
    'apply_removal',
    'record_store_outage',
    'apply_entry',
    'apply_list',
    'had_store_outage',
)
