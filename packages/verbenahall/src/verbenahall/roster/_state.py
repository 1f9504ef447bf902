"""The endpoints that the store lists, as one instance keeps them."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Final, final

from verbenahall.roster._messages import Entry, Incarnation, Listing, Removal

#: How long lapsed entries are used, in seconds. According to the platform,
#: entries that lapsed in an outage of the store are written again within about
#: two seconds of its recovery.
LAPSE_GRACE_S: Final = 1.8
#: The removal of a larger share of a service is attributed to the store, since
#: so many endpoints are unlikely to end at once.
_MASS_REMOVAL_SHARE: Final = 0.4
#: Maximum number of removed endpoints whose last entry is kept.
_MAX_REMOVED: Final = 4096
#: Maximum number of incarnations that are kept as leaving. They are kept beyond
#: their removal, because an older entry may list them again.
_MAX_LEAVING: Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RosterRules:
    """Limits for the use of endpoints whose entry was removed.

    ``lapse_grace_s`` is how long an endpoint with a lapsed entry is still used.
    ``usable_s`` is how long after its last listing in the store requests may
    be sent to an endpoint, since the removal may mean that it has left. A
    removal of more than ``mass_removal_share`` of a service counts as a lapse.
    """

    lapse_grace_s: float = LAPSE_GRACE_S
    usable_s: float = LAPSE_GRACE_S
    mass_removal_share: float = _MASS_REMOVAL_SHARE


@final
class Roster:
    """The endpoints by name, and their recent removals.

    ``listings`` holds the listed endpoints. ``removed`` holds the last entries
    of removed endpoints, so that an outdated entry does not list them again;
    ``lapsed`` names those whose entry has expired, as far as that is known.
    ``announced`` holds the incarnations whose answers say that they leave.
    ``avoided_until`` is the latest time until which an endpoint is avoided, and
    ``store_outage_at`` when the store was last unreachable, in monotonic
    seconds. ``is_loaded`` is whether a full list has been applied.
    """

    __slots__ = (
        'rules',
        'listings',
        'removed',
        'lapsed',
        'announced',
        'avoided_until',
        'store_outage_at',
        'is_loaded',
        'removals',
    )

    def __init__(self, rules: RosterRules | None = None) -> None:
        """Start without endpoints."""
        self.rules = rules or RosterRules()
        self.listings: dict[str, Listing] = {}
        self.removed: dict[str, Entry] = {}
        self.lapsed: set[str] = set()
        self.announced: dict[Incarnation, None] = {}
        self.avoided_until = -float('inf')
        self.store_outage_at = -float('inf')
        self.is_loaded = False
        self.removals: list[Removal] = []

    def list_live(self, service: str, now: float) -> Iterator[Entry]:
        """Yield the endpoints of a service to which requests may be sent.

        Those that are listed again after their removal are used only while
        there are no others.
        """
        serving: Iterable[Listing] = (
            listing
            for listing in self.listings.values()
            if listing.entry.service == service and _is_live(listing, now)
        )
        if now < self.avoided_until:
            serving = list(serving)
            trusted = [one for one in serving if one.trusted_from <= now]
            serving = trusted or serving
        for listing in serving:
            yield listing.entry

    def is_live(self, name: str, now: float) -> bool:
        """Whether a request may be sent to an endpoint now."""
        listing = self.listings.get(name)
        if listing is None or not _is_live(listing, now):
            return False
        if listing.trusted_from <= now:
            return True
        live = self.list_live(listing.entry.service, now)
        return any(one.name == name for one in live)

    def is_leaving(self, name: str) -> bool:
        """Whether the last entry of an endpoint is ``leaving``."""
        entry = self.find_entry(name)
        return entry is not None and entry.leaving

    def find_entry(self, name: str) -> Entry | None:
        """Return the last entry of an endpoint, also after its removal."""
        listing = self.listings.get(name)
        return listing.entry if listing else self.removed.get(name)

    def find_version(self, name: str) -> str | None:
        """Return the software version of an endpoint's last entry."""
        entry = self.find_entry(name)
        return entry.version if entry else None

    def keep_announced(self, incarnation: Incarnation) -> None:
        """Keep an incarnation as leaving; the oldest ones are dropped."""
        self.announced[incarnation] = None
        while len(self.announced) > _MAX_LEAVING:
            self.announced.pop(next(iter(self.announced)))

    def remove(self, name: str, *, has_lapsed: bool = False) -> None:
        """Remove an endpoint, and keep its last entry if there is room."""
        self.removed[name] = self.listings.pop(name).entry
        while len(self.removed) > _MAX_REMOVED:
            self.removed.pop(next(iter(self.removed)))
        self.lapsed &= self.removed.keys() - {name}
        if has_lapsed:
            self.lapsed.add(name)


def _is_live(listing: Listing, now: float) -> bool:
    is_usable = listing.usable_from <= now < listing.usable_until
    return is_usable and not listing.entry.leaving
