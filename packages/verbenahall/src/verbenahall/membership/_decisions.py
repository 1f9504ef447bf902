"""Applies observations of endpoints, and answers queries about them."""

import dataclasses
import random
from typing import Final

from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.membership._list_updates import remove_member, replace_member
from verbenahall.membership._messages import (
    ListStatus,
    StateReport,
    StatusReason,
)
from verbenahall.membership._state import Member, MembershipState
from verbenahall.membership._status import update_status

_EXPIRY_INTERVAL_S: Final = 1.0
_JITTER: Final = (0.5, 1.5)


def observe_answer(state: MembershipState, name: str, now: float) -> None:
    """Record that an endpoint answered, with any status."""
    member = state.members.get(name)
    if member is None or not member.failures:
        return
    if member.unresponsive:
        member.successes += 1
        member.probe_delay = state.rules.probe_first_s
        if member.successes <= member.flaps:
            return
    member.failures = 0
    update_status(state, member, now)


def observe_failure(state: MembershipState, name: str, now: float) -> None:
    """Record a failure to connect to an endpoint or to get its answer."""
    member = state.members.get(name)
    if member is None:
        return
    if not member.failures:
        member.first_failure_at = now
    member.last_failure_at = now
    member.failures += 1
    member.successes = 0
    update_status(state, member, now)


def observe_leaving(state: MembershipState, name: str, now: float) -> None:
    """Record that an endpoint announced that it is leaving."""
    member = state.members.get(name)
    if member is not None:
        apply_state_report(
            state, member, StateReport(leaving=True, reported_at=now), now
        )


def observe_state(
    state: MembershipState,
    name: str,
    incarnation: str,
    *,
    leaving: bool,
    now: float,
) -> None:
    """Record the answer of an endpoint's ``/state``.

    An incarnation that the list doesn't show yet replaces the member at
    once. A report with ``leaving=False`` cancels an earlier announcement.
    """
    member = state.members.get(name)
    if member is None or incarnation in member.former:
        return
    if incarnation != member.endpoint.incarnation:
        endpoint = dataclasses.replace(
            member.endpoint,
            incarnation=incarnation,
        )
        member = replace_member(state, endpoint, now)
    apply_state_report(
        state, member, StateReport(leaving=leaving, reported_at=now), now
    )


def apply_state_report(
    state: MembershipState,
    member: Member,
    state_report: StateReport,
    now: float,
) -> None:
    """Keep the later of two reports about a member."""
    if (
        member.state_report is None
        or state_report.reported_at >= member.state_report.reported_at
    ):
        member.state_report = state_report
    update_status(state, member, now)


def list_live(
    state: MembershipState,
    kind: EndpointKind,
    now: float,
    service: str = '',
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a kind that may get requests, by name.

    ``service`` restricts them to one service name, as callers use it.
    """
    expire_members(state, now)
    found = state.live_cache.get((kind, service))
    if found is None:
        found = tuple(
            member.endpoint
            for _, member in sorted(state.members.items())
            if _is_available(member, kind, service)
        )
        state.live_cache[kind, service] = found
    return found


def _is_available(member: Member, kind: EndpointKind, service: str) -> bool:
    return (
        member.status is EndpointStatus.LIVE
        and member.endpoint.kind is kind
        and service in {'', member.endpoint.service}
    )


def expire_members(state: MembershipState, now: float) -> None:
    """Remove members that left the list long ago, at most once a second."""
    if now < state.next_expiry_at:
        return
    state.next_expiry_at = now + _EXPIRY_INTERVAL_S
    for member in tuple(state.members.values()):
        if _is_expired(state, member, now):
            remove_member(state, member)


def _is_expired(
    state: MembershipState,
    member: Member,
    now: float,
) -> bool:
    if member.unlisted_at is None or member.status is EndpointStatus.LIVE:
        return False
    return now - member.unlisted_at >= state.rules.expire_after_s


def get_status(state: MembershipState, name: str, now: float) -> EndpointStatus:
    """Return an endpoint's status, ``SILENT`` for an unknown name."""
    expire_members(state, now)
    member = state.members.get(name)
    if member is None or member.status is None:
        return EndpointStatus.SILENT
    return member.status


def find_endpoint(state: MembershipState, name: str) -> Endpoint | None:
    """Return the endpoint of a name with any status, None if unknown."""
    member = state.members.get(name)
    return member.endpoint if member else None


def list_endpoints(state: MembershipState) -> tuple[Endpoint, ...]:
    """Return every known endpoint, by name."""
    names = sorted(state.members)
    return tuple(state.members[name].endpoint for name in names)


def take_due_probes(
    state: MembershipState,
    now: float,
    rng: random.Random,
) -> tuple[Endpoint, ...]:
    """Return the endpoints to probe now, and schedule their next probes.

    Probed are endpoints that are unresponsive, that announced that they leave,
    or whose removal from the list was not accepted (``DOUBTED``). The delay
    between probes grows and has jitter, and only a few endpoints are probed at
    once. Otherwise instances that saw the same fault would all send their
    probes at the moment when it ends.
    """
    members = state.members.values()
    waiting = [member for member in members if _needs_probe(member, now)]
    waiting.sort(key=_probe_order)
    chosen = waiting[: state.rules.probes_at_once]
    for due in chosen:
        _schedule_next_probe(state, due, now, rng)
    return tuple(probed.endpoint for probed in chosen)


def _probe_order(member: Member) -> tuple[float, str]:
    return member.probe_at, member.endpoint.name


def _needs_probe(member: Member, now: float) -> bool:
    if member.probe_at > now:
        return False
    if (
        member.status is EndpointStatus.SILENT
        or member.reason is StatusReason.TOLD_LEAVING
    ):
        return True
    return member.list_status is ListStatus.DOUBTED


def _schedule_next_probe(
    state: MembershipState,
    member: Member,
    now: float,
    rng: random.Random,
) -> None:
    delay = max(member.probe_delay, state.rules.probe_first_s)
    member.probe_at = now + delay * rng.uniform(*_JITTER)
    member.probe_delay = min(delay * 2, state.rules.probe_max_s)
