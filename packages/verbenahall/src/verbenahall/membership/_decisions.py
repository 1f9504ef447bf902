"""Observations folded into standings, and the questions asked of them."""

import dataclasses
import random
from typing import Final

from verbenahall.fleet import Endpoint, EndpointKind, Standing
from verbenahall.membership._listing import forget, replace_member
from verbenahall.membership._messages import Listing, Sign, Word
from verbenahall.membership._standing import review
from verbenahall.membership._state import Member, MembershipState

_SETTLE_EVERY_S: Final = 1.0
_JITTER: Final = (0.5, 1.5)


def observe_answer(state: MembershipState, name: str, now: float) -> None:
    """Note that the endpoint answered, whatever it answered."""
    member = state.members.get(name)
    if member is None or not member.failures:
        return
    if member.silent:
        member.successes += 1
        member.probe_delay = state.rules.probe_first_s
        if member.successes <= member.flaps:
            return
    member.failures = 0
    review(state, member, now)


def observe_failure(state: MembershipState, name: str, now: float) -> None:
    """Note a failure to reach the endpoint or to get its answer."""
    member = state.members.get(name)
    if member is None:
        return
    if not member.failures:
        member.first_failure_at = now
    member.last_failure_at = now
    member.failures += 1
    member.successes = 0
    review(state, member, now)


def observe_leaving(state: MembershipState, name: str, now: float) -> None:
    """Note the endpoint's own word that it is leaving."""
    member = state.members.get(name)
    if member is not None:
        hear_word(state, member, Word(leaving=True, said_at=now), now)


def observe_word(
    state: MembershipState,
    name: str,
    incarnation: str,
    *,
    leaving: bool,
    now: float,
) -> None:
    """Note what the endpoint's own ``/state`` says of it.

    An incarnation that the list doesn't show yet replaces the member at
    once; a word that it stays takes back an earlier one that it leaves.
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
    hear_word(state, member, Word(leaving=leaving, said_at=now), now)


def hear_word(
    state: MembershipState,
    member: Member,
    word: Word,
    now: float,
) -> None:
    """Keep the later of two words about a member."""
    if member.word is None or word.said_at >= member.word.said_at:
        member.word = word
    review(state, member, now)


def live(
    state: MembershipState,
    kind: EndpointKind,
    now: float,
    service: str = '',
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a kind that may get new work, by name.

    ``service`` narrows services to one name that callers use.
    """
    settle(state, now)
    found = state.live_cache.get((kind, service))
    if found is None:
        found = tuple(
            member.endpoint
            for _, member in sorted(state.members.items())
            if _may_take(member, kind, service)
        )
        state.live_cache[kind, service] = found
    return found


def _may_take(member: Member, kind: EndpointKind, service: str) -> bool:
    return (
        member.standing is Standing.LIVE
        and member.endpoint.kind is kind
        and service in {'', member.endpoint.service}
    )


def settle(state: MembershipState, now: float) -> None:
    """Forget members that are long gone; at most once a second."""
    if now < state.settle_at:
        return
    state.settle_at = now + _SETTLE_EVERY_S
    for member in tuple(state.members.values()):
        if _is_forgotten(state, member, now):
            forget(state, member)


def _is_forgotten(
    state: MembershipState,
    member: Member,
    now: float,
) -> bool:
    if member.unlisted_at is None or member.standing is Standing.LIVE:
        return False
    return now - member.unlisted_at >= state.rules.forget_after_s


def standing_of(state: MembershipState, name: str, now: float) -> Standing:
    """Return an endpoint's standing; an unknown name is silent."""
    settle(state, now)
    member = state.members.get(name)
    if member is None or member.standing is None:
        return Standing.SILENT
    return member.standing


def find(state: MembershipState, name: str) -> Endpoint | None:
    """Return the endpoint of a name, whatever its standing."""
    member = state.members.get(name)
    return member.endpoint if member else None


def all_endpoints(state: MembershipState) -> tuple[Endpoint, ...]:
    """Return every known endpoint, by name."""
    names = sorted(state.members)
    return tuple(state.members[name].endpoint for name in names)


def due_probes(
    state: MembershipState,
    now: float,
    rng: random.Random,
) -> tuple[Endpoint, ...]:
    """Take the endpoints to probe now.

    These are silent ones, doubted ones, and those that said they leave.

    Each is put off by a growing delay with jitter and few go at once, so
    that instances that saw the same fault don't ask all at the same moment
    when it ends.
    """
    members = state.members.values()
    wanting = [member for member in members if _wants_probe(member, now)]
    wanting.sort(key=_probe_order)
    chosen = wanting[: state.rules.probes_at_once]
    for silent in chosen:
        _put_off(state, silent, now, rng)
    return tuple(probed.endpoint for probed in chosen)


def _probe_order(member: Member) -> tuple[float, str]:
    return member.probe_at, member.endpoint.name


def _wants_probe(member: Member, now: float) -> bool:
    if member.probe_at > now:
        return False
    if member.standing is Standing.SILENT or member.sign is Sign.TOLD_LEAVING:
        return True
    return member.listing is Listing.DOUBTED


def _put_off(
    state: MembershipState,
    member: Member,
    now: float,
    rng: random.Random,
) -> None:
    delay = max(member.probe_delay, state.rules.probe_first_s)
    member.probe_at = now + delay * rng.uniform(*_JITTER)
    member.probe_delay = min(delay * 2, state.rules.probe_longest_s)
