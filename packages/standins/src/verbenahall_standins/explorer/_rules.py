"""Decision functions that the explored instances use.

``PRODUCTION`` has the product's functions. Each other variant leaves out one
guard, to show that the explorer finds the resulting violation.
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

FindToken = Callable[[AuthorityState, LeaseCandidate, int], int | None]
ApplyRecord = Callable[[AuthorityState, Record, int], bool]


def _find_token(
    state: AuthorityState,
    candidate: LeaseCandidate,
    now: int,
) -> int | None:
    return find_token(state, candidate, LEASE, now)


def _find_token_unchecked(
    state: AuthorityState,
    candidate: LeaseCandidate,
    now: int,
) -> int | None:
    """Return the token if this process holds the last grant that it has read.

    Whether the lease has expired is not checked.
    """
    grant = state.find_grant(SCOPE)
    if grant.holder != candidate.holder:
        return None
    return grant.token or None


def _apply_unconditionally(
    state: AuthorityState, record: Record, now: int
) -> bool:
    """Apply every claim and renewal, without comparing its ``after`` field."""
    if record.stream != AUTHORITY_STREAM:
        return apply_record(state, record, now)
    body = dict(record.body)
    body['after'] = state.find_grant(SCOPE).last
    return apply_record(state, dataclasses.replace(record, body=body), now)


def _keep_gates(dispatch: Dispatch) -> None:
    """Leave the wait and the read-back of each engine as they are."""


def _open_gates(dispatch: Dispatch) -> None:
    """Mark each engine as read back, without a wait."""
    for engine_sends in dispatch.sends.values():
        engine_sends.cleared = True


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The decision functions of one explored variant."""

    name: str
    find_held_token: FindToken = _find_token
    apply: ApplyRecord = apply_record
    adjust_gates: Callable[[Dispatch], None] = _keep_gates


PRODUCTION: Final = Rules('production')
NO_LEASE_CHECK: Final = Rules(
    'no lease check', find_held_token=_find_token_unchecked
)
NO_READ_BACK: Final = Rules('no read-back', adjust_gates=_open_gates)
NO_COMPARE_AND_SET: Final = Rules(
    'no compare and set', apply=_apply_unconditionally
)
