"""Applies the platform's list, which may lag, shrink, freeze or restart."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final

from verbenahall.fleet import Endpoint
from verbenahall.membership._messages import ListEntry, ListStatus
from verbenahall.membership._state import Group, Member, MembershipState
from verbenahall.membership._status import update_status

#: Within the removal window a list may remove one member of a group, or the
#: group's size divided by this number. More removals count as a fault of the
#: list.
_REMOVABLE_DIVISOR: Final = 3
_MAX_FORMER: Final = 4
_LISTED: Final = frozenset((ListStatus.SHOWN, ListStatus.DOUBTED))


def apply_list(
    state: MembershipState,
    entries: Iterable[ListEntry],
    now: float,
) -> None:
    """Apply one answer of the platform's list."""
    shown = {entry.endpoint.name: entry for entry in entries}
    if state.first_listed_at is None:
        state.first_listed_at = now
    state.listed_at = now
    doubted = _find_doubted(state, shown, now)
    for name, member in tuple(state.members.items()):
        if name not in shown:
            _unlist(state, member, now, doubted=name in doubted)
    for entry in shown.values():
        _list_entry(state, entry, now)
    for member in tuple(state.members.values()):
        update_status(state, member, now)


def replace_member(
    state: MembershipState,
    endpoint: Endpoint,
    now: float,
) -> Member:
    """Replace a member by a new incarnation, without its observations.

    The failures belong to the previous process under this name. If they were
    kept, a healthy process would get no requests until it is probed.
    """
    old = state.members.get(endpoint.name)
    former: tuple[str, ...] = ()
    if old is not None:
        former = _find_former(old, endpoint)
        _release_address(state, old.endpoint)
    member = Member(endpoint, former, now)
    state.members[endpoint.name] = member
    state.revision += 1
    state.address_owners[endpoint.address] = endpoint.name
    state.live_cache.clear()
    return member


def _find_former(old: Member, endpoint: Endpoint) -> tuple[str, ...]:
    former = (*old.former, old.endpoint.incarnation)
    others = tuple(one for one in former if one != endpoint.incarnation)
    return others[-_MAX_FORMER:]


def remove_member(state: MembershipState, member: Member) -> None:
    """Remove a member and release its address."""
    state.members.pop(member.endpoint.name)
    state.revision += 1
    state.peers.pop(member.endpoint.name, None)
    _release_address(state, member.endpoint)


def _release_address(state: MembershipState, endpoint: Endpoint) -> None:
    if state.address_owners.get(endpoint.address) == endpoint.name:
        state.address_owners.pop(endpoint.address)


def _list_entry(
    state: MembershipState,
    entry: ListEntry,
    now: float,
) -> None:
    member = state.members.get(entry.endpoint.name)
    if member is not None and _is_lagging(state, member, entry, now):
        # Applying the entry would restore the old process's address and
        # drop the new one's observations, again at each poll.
        return
    endpoint = _resolve_incarnation(entry.endpoint, member)
    if member is None or member.endpoint != endpoint:
        member = replace_member(state, endpoint, now)
    state.address_owners.setdefault(endpoint.address, endpoint.name)
    member.list_status = (
        ListStatus.LEAVING if entry.leaving else ListStatus.SHOWN
    )
    member.unlisted_at = None


def _is_lagging(
    state: MembershipState,
    member: Member,
    entry: ListEntry,
    now: float,
) -> bool:
    """Whether the list still shows an incarnation that was replaced.

    A list counts as lagging for ``list_lag_s`` only. After that it is taken
    to use incarnations of its own, and its entry applies to this process.
    """
    if entry.endpoint.incarnation not in member.former:
        return False
    return now - member.born_at < state.rules.list_lag_s


def _resolve_incarnation(endpoint: Endpoint, member: Member | None) -> Endpoint:
    """Return the endpoint of an entry with the member's incarnation.

    An incarnation of the list is kept only if it is new. A list without
    incarnations, or with its own ones, doesn't replace a member.
    """
    if member is None:
        return endpoint
    if endpoint.incarnation and endpoint.incarnation not in member.former:
        return endpoint
    return dataclasses.replace(
        endpoint,
        incarnation=member.endpoint.incarnation,
    )


def _unlist(
    state: MembershipState,
    member: Member,
    now: float,
    *,
    doubted: bool,
) -> None:
    if member.unlisted_at is None:
        member.unlisted_at = now
    if member.list_status is ListStatus.GONE:
        return
    if doubted:
        member.list_status = ListStatus.DOUBTED
        return
    if member.list_status is not ListStatus.LEAVING:
        _count_removal(state, member, now)
    member.list_status = ListStatus.GONE


def _count_removal(
    state: MembershipState,
    member: Member,
    now: float,
) -> None:
    group = _group_of(member)
    state.removals.setdefault(group, collections.deque()).append(now)


def _group_of(member: Member) -> Group:
    return member.endpoint.kind, member.endpoint.data_centre


def _find_doubted(
    state: MembershipState,
    shown: Mapping[str, ListEntry],
    now: float,
) -> set[str]:
    """Return the missing members whose removal is not accepted.

    A list that was restarted, truncated or only partly filled shows too few
    entries. Accepting it could remove every endpoint of a data centre at
    once, and callers would get errors although the endpoints work.
    """
    seen = {entry.endpoint.data_centre for entry in shown.values()}
    doubted: set[str] = set()
    for group, names in _group_listed(state).items():
        missing = names - set(shown)
        recent = _recent_removals(state, group, now)
        allowed = max(1, (len(names) + recent) // _REMOVABLE_DIVISOR)
        if group[1] not in seen or len(missing) + recent > allowed:
            doubted |= missing
    return doubted


def _group_listed(state: MembershipState) -> dict[Group, set[str]]:
    groups: dict[Group, set[str]] = collections.defaultdict(set)
    for name, member in state.members.items():
        if member.list_status in _LISTED:
            groups[_group_of(member)].add(name)
    return groups


def _recent_removals(
    state: MembershipState,
    group: Group,
    now: float,
) -> int:
    removals = state.removals.get(group)
    if removals is None:
        return 0
    while removals and now - removals[0] > state.rules.removal_window_s:
        removals.popleft()
    return len(removals)
