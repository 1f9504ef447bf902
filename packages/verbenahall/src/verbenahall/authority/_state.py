"""The fold of the authority stream: one grant for each scope.

The result does not depend on any clock. A record is accepted if and only if
its ``after`` is the offset of the scope's last accepted record. So the order of
the log alone decides between two claims, or between a claim and a late renewal,
and all readers get the same result.
"""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Some

from verbenahall.authority._messages import (
    Grant,
    LeaseRecord,
    LeaseVerb,
    decode_body,
)
from verbenahall.records import AUTHORITY_STREAM, Record

_NO_GRANT: Final = Grant('', 0, 0, 0, 0, clean=True)


class AuthorityState:
    """Grants by scope, and when this process read each scope's last record.

    ``read_at`` maps a scope to the time, in monotonic seconds, at which this
    process read its last accepted record; it is local and not part of the
    fold. ``position`` is the offset of the last folded record.
    """

    __slots__ = ('grants', 'read_at', 'position')

    def __init__(self) -> None:
        """Start without any grant."""
        self.grants: dict[str, Grant] = {}
        self.read_at: dict[str, float] = {}
        self.position = 0

    def find_grant(self, scope: str) -> Grant:
        """Return the scope's grant; an empty one if it was never claimed."""
        return self.grants.get(scope, _NO_GRANT)


def apply_record(state: AuthorityState, record: Record, now: float) -> bool:
    """Fold one record, read at ``now``; return whether it was accepted.

    Records of other streams only move ``position``.
    """
    if record.offset <= state.position:
        return False
    state.position = record.offset
    if record.stream != AUTHORITY_STREAM:
        return False
    match decode_body(record.body):
        case Some(lease):
            return _fold(state, lease, record.offset, now)
        case _:
            return False


def _fold(
    state: AuthorityState,
    lease: LeaseRecord,
    offset: int,
    now: float,
) -> bool:
    grant = state.find_grant(lease.scope)
    # The author had not read the scope's last record: a claim that lost a
    # race, a renewal that arrived after a successor's claim, or a second copy
    # of a record. Without this check two instances would both hold the scope.
    if lease.after != grant.last:
        return False
    updated = _FOLDS[lease.verb](grant, lease, offset)
    if updated is None:
        return False
    state.grants[lease.scope] = updated
    state.read_at[lease.scope] = now
    return True


def _fold_claim(grant: Grant, lease: LeaseRecord, offset: int) -> Grant:
    return Grant(
        holder=lease.holder,
        token=offset,
        last=offset,
        after=lease.after,
        lease_s=lease.lease_s,
        clean=grant.token == 0,
    )


def _fold_renewal(
    grant: Grant,
    lease: LeaseRecord,
    offset: int,
) -> Grant | None:
    if grant.token == 0 or lease.holder != grant.holder:
        return None
    return dataclasses.replace(
        grant,
        last=offset,
        after=lease.after,
        lease_s=lease.lease_s,
    )


def _fold_release(
    grant: Grant,
    lease: LeaseRecord,
    offset: int,
) -> Grant | None:
    if grant.token == 0 or lease.holder != grant.holder:
        return None
    return Grant('', 0, offset, lease.after, 0, clean=True)


_Fold = Callable[[Grant, LeaseRecord, int], Grant | None]

_FOLDS: Final[Mapping[LeaseVerb, _Fold]] = MappingProxyType(
    {
        LeaseVerb.CLAIM: _fold_claim,
        LeaseVerb.RENEW: _fold_renewal,
        LeaseVerb.RELEASE: _fold_release,
    },
)


def current_token(state: AuthorityState, scope: str) -> int:
    """Return the fencing token in force for a scope, 0 if there is none."""
    return state.find_grant(scope).token


def export_state(state: AuthorityState) -> dict[str, Any]:
    """Return the grants for a snapshot, as JSON-encodable values."""
    return {
        scope: dataclasses.asdict(grant)
        for scope, grant in sorted(state.grants.items())
    }


def restore_state(
    state: AuthorityState,
    exported: dict[str, Any],
    position: int,
    now: float,
) -> None:
    """Replace the state by a snapshot taken at offset ``position``.

    The time at which each scope's last record was read is set to ``now``: the
    real time is unknown, and a later one only makes this process wait longer
    before it claims.
    """
    state.grants = {
        scope: Grant(**exported_grant)
        for scope, exported_grant in exported.items()
    }
    state.read_at = dict.fromkeys(state.grants, now)
    state.position = position
