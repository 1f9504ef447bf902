"""Changes of the roster by records of the store and by store outages."""

import dataclasses
from collections.abc import Container, Iterable
from typing import Final

from verbenahall.roster._messages import Entry, Incarnation, Listing, Removal
from verbenahall.roster._state import Roster

#: Removals within this time count as one event, in seconds.
_MASS_REMOVAL_WINDOW_S: Final = 1.0
#: Maximum number of removals from a service within that time that are not
#: treated as a lapse of entries.
_MAX_ORDINARY_REMOVALS: Final = 2
#: Maximum time in seconds between the last failed call to the store and the
#: first records after its recovery.
STORE_RECOVERY_S: Final = 3.0
#: How long an endpoint that is listed again after its removal is avoided, in
#: seconds. The store may have executed an earlier write late, or returned from
#: an older copy. The platform removes such entries after three intervals of
#: silence.
_RELIST_S: Final = 5.0


def apply_entry(roster: Roster, entry: Entry, now: float) -> bool:
    """Apply an endpoint's entry, or return False if it is outdated.

    The store may execute writes seconds late. Without this check, an old entry
    that arrives after the one with ``leaving`` would cause requests to be sent
    to an endpoint that is about to exit. An incarnation that has announced its
    leaving stays leaving, whatever its entry says. One that was removed while
    it served has most likely left; if it is listed again, others are preferred
    for a while.

    An entry with ``leaving`` is never outdated: an endpoint that was started
    again under its name counts its changes anew. If it was a late write after
    all, the endpoint's next entry lists it again.
    """
    listing = roster.listings.get(entry.name)
    known = roster.find_entry(entry.name)
    if known is not None and _is_outdated(entry, known):
        return entry.leaving and apply_leaving(roster, entry.name)
    if entry.incarnation in roster.announced:
        entry = dataclasses.replace(entry, leaving=True)
    if listing is None:
        trusted_from = _find_trusted_from(roster, entry, now)
        roster.listings[entry.name] = Listing(entry, trusted_from)
        roster.avoided_until = max(roster.avoided_until, trusted_from)
        roster.removed.pop(entry.name, None)
    else:
        if entry.change > listing.entry.change:
            listing.usable_from = 0
            listing.trusted_from = 0
        listing.entry = entry
        listing.usable_until = float('inf')
    return True


def apply_leaving(roster: Roster, name: str) -> bool:
    """Apply that a listed endpoint leaves; False if nothing changes.

    The rest of its last entry stays, so that older entries stay outdated.
    """
    listing = roster.listings.get(name)
    if listing is None or listing.entry.leaving:
        return False
    listing.entry = dataclasses.replace(listing.entry, leaving=True)
    return True


def record_leaving(roster: Roster, incarnation: Incarnation) -> bool:
    """Record that an incarnation says that it leaves; False if that is known.

    An endpoint's answers say so before its entry does: the store may confirm
    the entry many seconds later. Another incarnation under the same name is not
    affected.
    """
    if incarnation in roster.announced:
        return False
    roster.keep_announced(incarnation)
    name, _ = incarnation
    known = roster.find_entry(name)
    if known is None or known.incarnation != incarnation:
        return True
    listing = roster.listings.get(name)
    if listing is not None:
        listing.entry = dataclasses.replace(known, leaving=True)
    return not known.leaving


def apply_removal(
    roster: Roster,
    name: str,
    now: float,
    listed_at: float | None = None,
    *,
    has_failed: bool = False,
) -> bool:
    """Apply the removal of an entry; True if the endpoint was removed.

    After an outage of the store, or if a large part of a service is removed at
    once, the entries have probably lapsed while most endpoints are alive. Such
    endpoints stay in use for a grace period, since the service would otherwise
    have no endpoints until the entries return.

    ``listed_at`` is the time at which the store last listed the endpoint, None
    if the store was unreachable since then. The removal may be as old as that,
    so the use of the endpoint is limited from that time on, not only from the
    time at which the removal was read.

    ``has_failed`` is whether the endpoint did not serve before its removal:
    its entry has expired, and is current if it is listed again.
    """
    _remove_overdue(roster, now)
    listing = roster.listings.get(name)
    if listing is None:
        return False
    roster.removals.append(Removal(now, name, listing.entry.service))
    if not listing.entry.leaving and _is_lapse(roster, listing.entry, now):
        until = _compute_grace_end(roster, now, listed_at)
        _set_grace_end(roster, listing.entry.service, until)
        if now < listing.usable_until:
            return False
        has_failed = True
    roster.remove(name, has_lapsed=has_failed)
    return True


def apply_list(
    roster: Roster,
    entries: Iterable[Entry],
    unreadable: Iterable[str],
    now: float,
    listed_at: float | None = None,
    *,
    has_returned: bool = False,
    failed: Container[str] = (),
) -> None:
    """Apply a full list, as after a start or if changes were missed.

    ``unreadable`` names the listed endpoints whose entry could not be parsed;
    they keep their last entry. ``has_returned`` is whether the store has
    returned from an older copy, in which endpoints may be listed again that
    have left since. These are not used for a while. ``failed`` names endpoints
    that do not serve; see ``apply_removal``.
    """
    listed = set(unreadable)
    for entry in entries:
        is_removed = roster.removed.get(entry.name) == entry
        apply_entry(roster, entry, now)
        listed.add(entry.name)
        if has_returned and is_removed:
            roster.listings[entry.name].usable_from = now + _RELIST_S
    for name in roster.listings.keys() - listed:
        apply_removal(roster, name, now, listed_at, has_failed=name in failed)
    roster.is_loaded = True


def record_store_outage(roster: Roster, now: float) -> None:
    """Record that the store did not answer."""
    roster.store_outage_at = now


def had_store_outage(roster: Roster, now: float) -> bool:
    """Whether a removal may be due to a recent outage of the store."""
    return now - roster.store_outage_at < STORE_RECOVERY_S


def _is_outdated(entry: Entry, known: Entry) -> bool:
    if entry.born != known.born:
        return entry.born < known.born
    return entry.change < known.change


def _find_trusted_from(roster: Roster, entry: Entry, now: float) -> float:
    """Return from when on an endpoint that is newly listed is trusted."""
    removed = roster.removed.get(entry.name)
    if removed is None or removed.incarnation != entry.incarnation:
        return 0
    return 0 if entry.name in roster.lapsed else now + _RELIST_S


def _remove_overdue(roster: Roster, now: float) -> None:
    """Remove the lapsed endpoints whose grace period has ended."""
    for name, listing in tuple(roster.listings.items()):
        if now >= listing.usable_until:
            roster.remove(name, has_lapsed=True)


def _is_lapse(roster: Roster, entry: Entry, now: float) -> bool:
    if had_store_outage(roster, now):
        return True
    window_start = now - _MASS_REMOVAL_WINDOW_S
    roster.removals = [
        removal for removal in roster.removals if removal.at > window_start
    ]
    recent = [
        removal
        for removal in roster.removals
        if removal.service == entry.service
    ]
    if len(recent) <= _MAX_ORDINARY_REMOVALS:
        return False
    listings = roster.listings.values()
    total = sum(listing.entry.service == entry.service for listing in listings)
    return len(recent) > total * roster.rules.mass_removal_share


def _compute_grace_end(
    roster: Roster,
    now: float,
    listed_at: float | None,
) -> float:
    until = now + roster.rules.lapse_grace_s
    if listed_at is None:
        return until
    return min(until, listed_at + roster.rules.usable_s)


def _set_grace_end(roster: Roster, service: str, until: float) -> None:
    """Limit the use of the lapsed endpoints of a service."""
    for removal in roster.removals:
        listing = roster.listings.get(removal.name)
        if listing is not None and listing.entry.service == service:
            listing.usable_until = min(listing.usable_until, until)
