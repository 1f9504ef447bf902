"""Digests between instances: what to say, to whom, and what to believe."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from verbenahall.fleet import EndpointKind
from verbenahall.membership._decisions import (
    apply_state_report,
    live,
    observe_answer,
)
from verbenahall.membership._messages import (
    Heartbeat,
    OwnReport,
    LeavingNotice,
    PeerView,
    Suspicion,
    StateReport,
)
from verbenahall.membership._status import update_status
from verbenahall.membership._state import Member, MembershipState

#: Bounds on one digest, so that a rack's failure does not swell it.
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

    The choice holds for an epoch, so that connections are used again, and
    differs between epochs, so that no pair stays strangers.
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
    """List the live instances of a data centre but for ``local``."""
    return [
        endpoint.name
        for endpoint in live(state, EndpointKind.INSTANCE, now)
        if endpoint.data_centre == data_centre and endpoint.name != local
    ]


def build_heartbeat(
    state: MembershipState,
    sender: tuple[str, str],
    report: OwnReport,
    now: float,
    *,
    leaving: bool,
) -> Heartbeat:
    """Build the heartbeat of ``sender``, a name with its incarnation.

    A word is passed on only while it is young, so that a word taken back
    dies out among the peers.
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
    """Fold a peer's heartbeat; evidence on other lives is dropped."""
    sender = state.members.get(heartbeat.sender)
    if sender is None:
        return
    # The list names an instance's life in its own way, so the life that the
    # digest tells does not replace the member.
    apply_state_report(state, sender, StateReport(heartbeat.leaving, now), now)
    observe_answer(state, heartbeat.sender, now)
    state.peers[heartbeat.sender] = PeerView(
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
