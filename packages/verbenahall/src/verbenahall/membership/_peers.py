"""Chooses peers for heartbeats, and builds and applies heartbeats."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from verbenahall.fleet import EndpointKind
from verbenahall.membership._decisions import (
    apply_state_report,
    list_live,
    observe_answer,
)
from verbenahall.membership._messages import (
    Heartbeat,
    InstanceStatus,
    LeavingNotice,
    PeerStatus,
    StateReport,
    Suspicion,
)
from verbenahall.membership._state import Member, MembershipState
from verbenahall.membership._status import update_status

#: Limits of one heartbeat, which keep it small when a whole rack fails.
_MAX_NOTICES: Final = 16
_MAX_SUSPICIONS: Final = 8
_AGE_DIGITS: Final = 2


def choose_peers(
    local: str,
    names: Iterable[str],
    epoch: int,
    count: int,
) -> list[str]:
    """Choose ``count`` peers by rendezvous hashing.

    The choice stays the same within an epoch, so that connections are
    reused, and differs between epochs, so that all pairs exchange
    heartbeats at some time.
    """
    others = (name for name in names if name != local)
    return heapq.nlargest(
        count,
        others,
        key=lambda name: _score(local, name, epoch),
    )


def _score(local: str, name: str, epoch: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{local}|{name}|{epoch}'.encode())


def list_peers(
    state: MembershipState,
    local: str,
    data_centre: str,
    now: float,
) -> list[str]:
    """Return the live instances of a data centre except ``local``."""
    return [
        endpoint.name
        for endpoint in list_live(state, EndpointKind.INSTANCE, now)
        if endpoint.data_centre == data_centre and endpoint.name != local
    ]


def build_heartbeat(
    state: MembershipState,
    sender: tuple[str, str],
    report: InstanceStatus,
    now: float,
    *,
    leaving: bool,
) -> Heartbeat:
    """Build the heartbeat of ``sender``, a name and an incarnation.

    A leaving notice is forwarded only while it is recent, so that a notice
    that was cancelled does not circulate among the peers for ever.
    """
    name, incarnation = sender
    leaving_notices = heapq.nsmallest(
        _MAX_NOTICES,
        _find_leaving_notices(state, now),
        key=lambda notice: (notice.age_s, notice.name),
    )
    suspicions = heapq.nsmallest(
        _MAX_SUSPICIONS,
        _find_suspicions(state),
        key=lambda one: (-one.failures, one.name),
    )
    return Heartbeat(
        sender=name,
        incarnation=incarnation,
        report=report,
        leaving=leaving,
        leaving_notices=tuple(leaving_notices),
        suspicions=tuple(suspicions),
    )


def _find_leaving_notices(
    state: MembershipState, now: float
) -> Iterator[LeavingNotice]:
    for name, member in state.members.items():
        state_report = member.state_report
        if state_report is None or not state_report.leaving:
            continue
        age_s = round(now - state_report.reported_at, _AGE_DIGITS)
        if age_s <= state.rules.notice_lifetime_s:
            yield LeavingNotice(name, member.endpoint.incarnation, age_s)


def _find_suspicions(state: MembershipState) -> Iterator[Suspicion]:
    for name, member in state.members.items():
        if member.failures:
            yield Suspicion(
                name,
                member.endpoint.incarnation,
                member.failures,
            )


def apply_heartbeat(
    state: MembershipState, heartbeat: Heartbeat, now: float
) -> None:
    """Apply a peer's heartbeat.

    Notices and suspicions about other incarnations are ignored.
    """
    sender = state.members.get(heartbeat.sender)
    if sender is None:
        return
    # The list may use its own incarnation for an instance, so the one in the
    # heartbeat does not replace the member.
    apply_state_report(state, sender, StateReport(heartbeat.leaving, now), now)
    observe_answer(state, heartbeat.sender, now)
    state.peers[heartbeat.sender] = PeerStatus(
        heartbeat.incarnation,
        heartbeat.report,
        now,
    )
    for notice in heartbeat.leaving_notices:
        member = _match(state, notice.name, notice.incarnation)
        if member is not None:
            state_report = StateReport(
                leaving=True, reported_at=now - notice.age_s
            )
            apply_state_report(state, member, state_report, now)
    for suspicion in heartbeat.suspicions:
        suspect = _match(state, suspicion.name, suspicion.incarnation)
        if suspect is not None:
            suspect.suspicions[heartbeat.sender] = now
            update_status(state, suspect, now)


def _match(
    state: MembershipState,
    name: str,
    incarnation: str,
) -> Member | None:
    member = state.members.get(name)
    if member is None or member.endpoint.incarnation != incarnation:
        return None
    return member
