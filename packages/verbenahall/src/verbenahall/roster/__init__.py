"""The endpoints that the store lists, and which of them may get requests."""

from verbenahall.roster._decisions import (
    STORE_RECOVERY_S,
    apply_entry,
    apply_leaving,
    apply_list,
    apply_removal,
    had_store_outage,
    record_leaving,
    record_store_outage,
)
from verbenahall.roster._messages import (
    Entry,
    Incarnation,
    Listing,
    format_incarnation,
)
from verbenahall.roster._notices import (
    LeavingNotice,
    apply_notice,
    decode_notice,
    encode_notice,
)
from verbenahall.roster._state import LAPSE_GRACE_S, Roster, RosterRules
from verbenahall.roster._versions import fits_version, select_version

__all__ = (
    'Entry',
    'Incarnation',
    'LAPSE_GRACE_S',
    'LeavingNotice',
    'Listing',
    'Roster',
    'RosterRules',
    'STORE_RECOVERY_S',
    'apply_entry',
    'apply_leaving',
    'apply_list',
    'apply_notice',
    'apply_removal',
    'decode_notice',
    'encode_notice',
    'fits_version',
    'format_incarnation',
    'had_store_outage',
    'record_leaving',
    'record_store_outage',
    'select_version',
)
