"""The fold of the authority stream: one grant for each scope.

The fold knows no clock. A record is accepted if and only if it names the
scope's last accepted record, so of two claims, or of a claim and a late
renewal, the log's order alone decides, and every reader agrees.
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

    ``heard`` holds monotonic seconds of this process and is not part of what
    the log says. ``position`` is the offset of the last record folded.
    """

    __slots__ = ('grants', 'heard', 'position')

    def __init__(self) -> None:
        """Start with no scope known."""
        self.grants: dict[str, Grant] = {}
        self.heard: dict[str, float] = {}
        self.position = 0

    def find_grant(self, scope: str) -> Grant:
        """Return the scope's grant; an empty one if nobody ever claimed it."""
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
    # A record written by someone who did not know the scope's latest word:
    # a claim that lost the race, a renewal that arrived after a successor's
    # claim, or a second copy. Without this test two instances would both
    # believe that they hold the scope.
    if lease.after != grant.last:
        return False
    moved = _FOLDS[lease.verb](grant, lease, offset)
    if moved is None:
        return False
    state.grants[lease.scope] = moved
    state.heard[lease.scope] = now
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
    """Return what the log says, for a snapshot; JSON-encodable."""
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

    Each scope counts as heard at ``now``: the true time is not known, and a
    later one only makes this process wait longer before it claims.
    """
    state.grants = {
        scope: Grant(**exported_grant)
        for scope, exported_grant in exported.items()
    }
    state.heard = dict.fromkeys(state.grants, now)
    state.position = position
