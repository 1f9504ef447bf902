"""Computes a member's status from ordered tables of checks."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall.fleet import EndpointStatus
from verbenahall.membership._messages import (
    ListStatus,
    StatusChange,
    StatusReason,
)
from verbenahall.membership._state import Member, MembershipState


def _address_taken(state: MembershipState, member: Member, now: float) -> bool:
    owner = state.address_owners.get(member.endpoint.address)
    return owner != member.endpoint.name


def _list_leaving(state: MembershipState, member: Member, now: float) -> bool:
    return member.list_status is ListStatus.LEAVING


def _list_gone(state: MembershipState, member: Member, now: float) -> bool:
    return member.list_status is ListStatus.GONE


def _reported_leaving(
    state: MembershipState, member: Member, now: float
) -> bool:
    return member.state_report is not None and member.state_report.leaving


def _failing(state: MembershipState, member: Member, now: float) -> bool:
    rules = state.rules
    if member.failures >= rules.failures:
        return True
    span_s = member.last_failure_at - member.first_failure_at
    return member.failures > 1 and span_s >= rules.silent_after_s


def _doubted_failing(
    state: MembershipState,
    member: Member,
    now: float,
) -> bool:
    return member.list_status is ListStatus.DOUBTED and member.failures > 0


def _peers_suspect(state: MembershipState, member: Member, now: float) -> bool:
    """Whether peers suspect a member that failed here at least once.

    Suspicions alone don't suffice: the peers may be cut off from a member
    that this instance still reaches.
    """
    if not member.failures:
        return False
    fresh = [
        reported_at
        for reported_at in member.suspicions.values()
        if now - reported_at <= state.rules.suspicion_s
    ]
    return len(fresh) >= state.rules.suspecting_peers


_Check = Callable[[MembershipState, Member, float], bool]
_Table = Mapping[StatusReason, _Check]

#: The first check that holds gives the reason. Leaving takes precedence over
#: unresponsive: a leaving member must not get requests again after a probe.
_LEAVING_CHECKS: Final[_Table] = MappingProxyType(
    {
        StatusReason.ADDRESS_TAKEN: _address_taken,
        StatusReason.LIST_LEAVING: _list_leaving,
        StatusReason.LIST_GONE: _list_gone,
        StatusReason.TOLD_LEAVING: _reported_leaving,
    },
)
_UNREACHABLE_CHECKS: Final[_Table] = MappingProxyType(
    {
        StatusReason.FAILING: _failing,
        StatusReason.DOUBTED_FAILING: _doubted_failing,
        StatusReason.PEERS_SUSPECT: _peers_suspect,
    },
)


def update_status(state: MembershipState, member: Member, now: float) -> None:
    """Recompute a member's status and notify of a change.

    Reachability is tracked independently of leaving. If the list marks an
    unresponsive member as leaving and removes the mark again, the member has
    not recovered in between. If that counted as a recovery, its next failure
    would count as flapping, and a healthy endpoint would have to answer more
    often before it gets requests.
    """
    unreachable_reason = _find_reason(_UNREACHABLE_CHECKS, state, member, now)
    _update_reachability(state, member, now, unreachable_reason)
    leaving_reason = _find_reason(_LEAVING_CHECKS, state, member, now)
    before = member.status
    if leaving_reason:
        member.reason = leaving_reason
        member.status = EndpointStatus.LEAVING
    elif member.unresponsive:
        member.reason = unreachable_reason or StatusReason.FAILING
        member.status = EndpointStatus.SILENT
    else:
        member.reason = StatusReason.ANSWERS
        member.status = EndpointStatus.LIVE
    if member.status is not before:
        _notify_change(state, member, before)


def _find_reason(
    table: _Table,
    state: MembershipState,
    member: Member,
    now: float,
) -> StatusReason | None:
    for reason, holds in table.items():
        if holds(state, member, now):
            return reason
    return None


def _update_reachability(
    state: MembershipState,
    member: Member,
    now: float,
    unreachable_reason: StatusReason | None,
) -> None:
    """Update whether the member is unresponsive.

    It stays so until it has answered often enough (``observe_answer`` then
    clears its failures), even if a reason such as its peers' suspicions has
    expired meanwhile.
    """
    if unreachable_reason and not member.unresponsive:
        _mark_unresponsive(state, member, now)
    elif member.unresponsive and not unreachable_reason and not member.failures:
        member.unresponsive = False
        member.recovered_at = now


def _mark_unresponsive(
    state: MembershipState, member: Member, now: float
) -> None:
    """Mark a member unresponsive; set its flap count and next probe."""
    rules = state.rules
    recovered_at = member.recovered_at
    flapped = (
        recovered_at is not None and now - recovered_at < rules.flap_window_s
    )
    member.unresponsive = True
    member.flaps = min(member.flaps + 1, rules.flap_limit) if flapped else 0
    member.successes = 0
    member.probe_delay = rules.probe_first_s
    member.probe_at = now + member.probe_delay


def _notify_change(
    state: MembershipState,
    member: Member,
    before: EndpointStatus | None,
) -> None:
    state.live_cache.clear()
    state.notify(
        StatusChange(
            member.endpoint,
            before,
            member.status,
            member.reason,
            member.failures,
        ),
    )
