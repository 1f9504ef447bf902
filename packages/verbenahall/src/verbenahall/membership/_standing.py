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


def _answers(state: MembershipState, member: Member, now: float) -> bool:
    return True


_Check = Callable[[MembershipState, Member, float], bool]
_Row = tuple[_Check, Standing]

#: The first sign that holds decides. Leaving goes before silent: a member
#: that is both must not be probed back into work.
_TABLE: Final[Mapping[Sign, _Row]] = MappingProxyType(
    {
        Sign.ADDRESS_TAKEN: (_address_taken, Standing.LEAVING),
        Sign.LIST_LEAVING: (_list_leaving, Standing.LEAVING),
        Sign.LIST_GONE: (_list_gone, Standing.LEAVING),
        Sign.TOLD_LEAVING: (_told_leaving, Standing.LEAVING),
        Sign.FAILING: (_failing, Standing.SILENT),
        Sign.DOUBTED_FAILING: (_doubted_failing, Standing.SILENT),
        Sign.PEERS_SUSPECT: (_peers_suspect, Standing.SILENT),
        Sign.ANSWERS: (_answers, Standing.LIVE),
    },
)


def review(state: MembershipState, member: Member, now: float) -> None:
    """Work out the member's standing anew and tell a change.

    A silent member keeps its standing until it has answered often enough
    (``observe_answer`` then clears its failures), though a sign such as its
    peers' suspicion may have grown old meanwhile.
    """
    sign, after = _find_sign(state, member, now)
    before = member.standing
    if before is Standing.SILENT and after is Standing.LIVE and member.failures:
        return
    member.sign = sign
    if after is before:
        return
    _note_turn(state, member, now, after)
    member.standing = after
    state.live_cache.clear()
    state.notify(
        StandingChange(member.endpoint, before, after, sign, member.failures),
    )


def _find_sign(
    state: MembershipState,
    member: Member,
    now: float,
) -> tuple[Sign, Standing]:
    for sign, (holds, standing) in _TABLE.items():
        if holds(state, member, now):
            return sign, standing
    raise AssertionError('the last sign always holds')


def _note_turn(
    state: MembershipState,
    member: Member,
    now: float,
    after: Standing,
) -> None:
    """Keep the marks that damp flapping and space the probes."""
    rules = state.rules
    if after is Standing.SILENT:
        recovered_at = member.recovered_at
        flapped = (
            recovered_at is not None
            and now - recovered_at < rules.flap_window_s
        )
        member.flaps = min(member.flaps + 1, rules.flap_limit) if flapped else 0
        member.successes = 0
        member.probe_delay = rules.probe_first_s
        member.probe_at = now + member.probe_delay
    elif member.standing is Standing.SILENT:
        member.recovered_at = now
