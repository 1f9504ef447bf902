"""From evidence to standing: one ordered table of signs."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from verbenahall.fleet import Standing
from verbenahall.membership._messages import Listing, Sign, StandingChange
from verbenahall.membership._state import Member, MembershipState


def _address_taken(state: MembershipState, member: Member, now: float) -> bool:
    owner = state.owners.get(member.endpoint.address)
    return owner != member.endpoint.name


def _list_leaving(state: MembershipState, member: Member, now: float) -> bool:
    return member.listing is Listing.LEAVING


def _list_gone(state: MembershipState, member: Member, now: float) -> bool:
    return member.listing is Listing.GONE


def _told_leaving(state: MembershipState, member: Member, now: float) -> bool:
    return member.word is not None and member.word.leaving


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
    return member.listing is Listing.DOUBTED and member.failures > 0


def _peers_suspect(state: MembershipState, member: Member, now: float) -> bool:
    """Peers alone silence nobody: they may be cut off where we are not."""
    if not member.failures:
        return False
    fresh = [
        said_at
        for said_at in member.suspicions.values()
        if now - said_at <= state.rules.suspicion_s
    ]
    return len(fresh) >= state.rules.suspecting_peers


_Check = Callable[[MembershipState, Member, float], bool]
_Table = Mapping[Sign, _Check]

#: The first sign that holds decides. Leaving goes before silent: a member
#: that is both must not be probed back into work.
_LEAVING: Final[_Table] = MappingProxyType(
    {
        Sign.ADDRESS_TAKEN: _address_taken,
        Sign.LIST_LEAVING: _list_leaving,
        Sign.LIST_GONE: _list_gone,
        Sign.TOLD_LEAVING: _told_leaving,
    },
)
_OUT_OF_REACH: Final[_Table] = MappingProxyType(
    {
        Sign.FAILING: _failing,
        Sign.DOUBTED_FAILING: _doubted_failing,
        Sign.PEERS_SUSPECT: _peers_suspect,
    },
)


def review(state: MembershipState, member: Member, now: float) -> None:
    """Work out the member's standing anew and tell a change.

    Reach is kept apart from leaving. A silent member that the list marked as
    leaving and unmarked again has not recovered in between; taken for a
    recovery, its next silence would count as flapping, and a healthy endpoint
    would have to answer more often before it gets work.
    """
    unreached = _find_sign(_OUT_OF_REACH, state, member, now)
    _note_reach(state, member, now, unreached)
    leaving = _find_sign(_LEAVING, state, member, now)
    before = member.standing
    if leaving:
        member.sign = leaving
        member.standing = Standing.LEAVING
    elif member.silent:
        member.sign = unreached or Sign.FAILING
        member.standing = Standing.SILENT
    else:
        member.sign = Sign.ANSWERS
        member.standing = Standing.LIVE
    if member.standing is not before:
        _tell(state, member, before)


def _find_sign(
    table: _Table,
    state: MembershipState,
    member: Member,
    now: float,
) -> Sign | None:
    for sign, holds in table.items():
        if holds(state, member, now):
            return sign
    return None


def _note_reach(
    state: MembershipState,
    member: Member,
    now: float,
    unreached: Sign | None,
) -> None:
    """Keep whether the member is silent.

    A silent member stays so until it has answered often enough
    (``observe_answer`` then clears its failures), though a sign such as its
    peers' suspicion may have grown old meanwhile.
    """
    if unreached and not member.silent:
        _fall_silent(state, member, now)
    elif member.silent and not unreached and not member.failures:
        member.silent = False
        member.recovered_at = now


def _fall_silent(state: MembershipState, member: Member, now: float) -> None:
    """Keep the marks that damp flapping and space the probes."""
    rules = state.rules
    recovered_at = member.recovered_at
    flapped = (
        recovered_at is not None and now - recovered_at < rules.flap_window_s
    )
    member.silent = True
    member.flaps = min(member.flaps + 1, rules.flap_limit) if flapped else 0
    member.successes = 0
    member.probe_delay = rules.probe_first_s
    member.probe_at = now + member.probe_delay


def _tell(
    state: MembershipState,
    member: Member,
    before: Standing | None,
) -> None:
    state.live_cache.clear()
    state.notify(
        StandingChange(
            member.endpoint,
            before,
            member.standing,
            member.sign,
            member.failures,
        ),
    )
