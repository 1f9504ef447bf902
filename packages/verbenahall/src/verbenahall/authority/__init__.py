"""Leases on scopes and their fencing tokens, folded from the log."""

from verbenahall.authority._decisions import (
    LeaseCandidate,
    choose_step,
    find_claim_time,
    find_deadline,
    find_token,
    record_sent,
)
from verbenahall.authority._messages import (
    Claim,
    Grant,
    Idle,
    LeaseTiming,
    Release,
    Renew,
    encode_step,
)
from verbenahall.authority._shell import LeaseManager
from verbenahall.authority._state import (
    AuthorityState,
    apply_record,
    current_token,
    export_state,
    restore_state,
)

__all__ = (
    'AuthorityState',
    'Claim',
    'Grant',
    'Idle',
    'LeaseCandidate',
    'LeaseManager',
    'LeaseTiming',
    'Release',
    'Renew',
    'apply_record',
    'choose_step',
    'current_token',
    'encode_step',
    'export_state',
    'find_claim_time',
    'find_deadline',
    'find_token',
    'record_sent',
    'restore_state',
)
