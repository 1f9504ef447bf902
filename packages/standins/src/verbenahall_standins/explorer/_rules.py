"""Which decision functions the explored instances use.

``PRODUCTION`` is what runs. Each other set leaves one guard out, to show
that the explorer would find the fault.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from verbenahall.authority import (
    AuthorityState,
    LeaseCandidate,
    apply_record,
    find_token,
)
from verbenahall.orders import Dispatch
from verbenahall.records import AUTHORITY_STREAM, Record
from verbenahall_standins.explorer._timing import LEASE, SCOPE

Hold = Callable[[AuthorityState, LeaseCandidate, int], int | None]
Fold = Callable[[AuthorityState, Record, int], bool]


def _hold(
    state: AuthorityState,
    candidate: LeaseCandidate,
    now: int,
) -> int | None:
    return find_token(state, candidate, LEASE, now)


def _hold_blindly(
    state: AuthorityState,
    candidate: LeaseCandidate,
    now: int,
) -> int | None:
    """Hold for as long as the log as read names this process."""
    grant = state.find_grant(SCOPE)
    if grant.holder != candidate.holder:
        return None
    return grant.token or None


def _fold_blindly(state: AuthorityState, record: Record, now: int) -> bool:
    """Take every claim and renewal, whatever it names as the last record."""
    if record.stream != AUTHORITY_STREAM:
        return apply_record(state, record, now)
    body = dict(record.body)
    body['after'] = state.find_grant(SCOPE).last
    return apply_record(state, dataclasses.replace(record, body=body), now)


def _keep_gate(dispatch: Dispatch) -> None:
    """Leave the gates as they are."""


def _force_gates(dispatch: Dispatch) -> None:
    for engine_sends in dispatch.sends.values():
        engine_sends.cleared = True


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The guards of one explored variant."""

    name: str
    hold: Hold = _hold
    fold: Fold = apply_record
    adjust_gates: Callable[[Dispatch], None] = _keep_gate


PRODUCTION: Final = Rules('production')
NO_LEASE_CHECK: Final = Rules('no lease check', hold=_hold_blindly)
NO_READ_BACK: Final = Rules('no read-back', adjust_gates=_force_gates)
BLIND_FOLD: Final = Rules('no compare and set', fold=_fold_blindly)
