"""What a record of the store, or silence from it, changes in the roster."""

from collections.abc import Iterable
from typing import Final

from verbenahall.roster._messages import Drop, Entry, Seat
from verbenahall.roster._state import Roster

#: Drops within this time belong to one event, in seconds.
_MASS_WINDOW_S: Final = 1.0
#: So many endpoints may well vanish together by themselves.
_FEW: Final = 2
#: The store's return and the first records after it are this far apart at
#: most, in seconds.
RETURN_S: Final = 3.0


def put(roster: Roster, entry: Entry) -> bool:
    """Take an endpoint's entry; False when it is a late copy of an old one.

    Writes to the store may be carried out seconds late. An old ``ready``
    that arrives after ``leaving`` would send work to an endpoint that is
    about to exit.
    """
    seat = roster.seats.get(entry.name)
    known = seat.entry if seat else roster.departed.get(entry.name)
    if known is not None and _is_older(entry, known):
        return False
    if seat is None:
        roster.seats[entry.name] = Seat(entry)
        roster.departed.pop(entry.name, None)
    else:
        seat.entry = entry
        seat.until = float('inf')
    return True


def drop(
    roster: Roster,
    name: str,
    now: float,
    listed_at: float | None = None,
) -> bool:
    """Take out an endpoint whose entry was removed; True when it is gone.

    After the store was away, or when a large part of a service vanishes at
    once, the entries have lapsed though most of the endpoints live. Without
    the grace a whole service would answer nothing until they are back.

    ``listed_at`` is when the store still listed the endpoint, None if it has
    been out of reach since. The removal may be as old as that, so the grace
    counts from there and not from when it was read.
    """
    _remove_overdue(roster, now)
    seat = roster.seats.get(name)
    if seat is None:
        return False
    roster.drops.append(Drop(now, name, seat.entry.service))
    if not seat.entry.leaving and _is_lapse(roster, seat.entry, now):
        until = _find_grace_end(roster, now, listed_at)
        _spare(roster, seat.entry.service, until)
        if now < seat.until:
            return False
    roster.remove(name)
    return True


def replace(
    roster: Roster,
    entries: Iterable[Entry],
    unreadable: Iterable[str],
    now: float,
    listed_at: float | None = None,
) -> None:
    """Take the whole list, as after a start or a lost history.

    Endpoints listed with an entry that is ``unreadable`` keep their last one.
    """
    listed = set(unreadable)
    for entry in entries:
        put(roster, entry)
        listed.add(entry.name)
    for name in roster.seats.keys() - listed:
        drop(roster, name, now, listed_at)
    roster.known = True


def note_cut_off(roster: Roster, now: float) -> None:
    """Note that the store did not answer."""
    roster.cut_off_at = now


def was_cut_off(roster: Roster, now: float) -> bool:
    """Tell whether entries that vanish now may have lapsed with the store."""
    return now - roster.cut_off_at < RETURN_S


def _is_older(entry: Entry, known: Entry) -> bool:
    if entry.born != known.born:
        return entry.born < known.born
    return entry.change < known.change


def _remove_overdue(roster: Roster, now: float) -> None:
    """Take out the lapsed endpoints that have not come back in time."""
    for name, seat in tuple(roster.seats.items()):
        if now >= seat.until:
            roster.remove(name)


def _is_lapse(roster: Roster, entry: Entry, now: float) -> bool:
    if was_cut_off(roster, now):
        return True
    since = now - _MASS_WINDOW_S
    roster.drops = [one for one in roster.drops if one.at > since]
    gone = [one for one in roster.drops if one.service == entry.service]
    if len(gone) <= _FEW:
        return False
    seats = roster.seats.values()
    total = sum(seat.entry.service == entry.service for seat in seats)
    return len(gone) > total * roster.rules.mass_share


def _find_grace_end(
    roster: Roster,
    now: float,
    listed_at: float | None,
) -> float:
    until = now + roster.rules.lapse_s
    if listed_at is None:
        return until
    return min(until, listed_at + roster.rules.usable_s)


def _spare(roster: Roster, service: str, until: float) -> None:
    """Keep the lapsed endpoints of a service for a moment longer."""
    for dropped in roster.drops:
        seat = roster.seats.get(dropped.name)
        if seat is not None and seat.entry.service == service:
            seat.until = min(seat.until, until)
