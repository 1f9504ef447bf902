"""Entries of endpoints in the store, and an instance's records of them."""

import dataclasses
from typing import final

from verbenahall.fleet import Role

#: An endpoint's name, and its start as the entry counts it.
Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The entry that an endpoint writes about itself.

    ``born`` distinguishes starts under the same name. ``change`` counts the
    changes of the entry since that start. ``role`` is None for endpoints that
    are not engines. ``cold_s`` is how long the endpoint is slow after its
    start. The platform may reclaim a ``spot`` instance at any time. ``version``
    is that of the endpoint's software, empty if the entry states none.
    """

    name: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int = 1
    role: Role | None = None
    born: int = 0
    change: int = 0
    cold_s: float = 0
    spot: bool = False
    version: str = ''

    @property
    def incarnation(self) -> Incarnation:
        """The key of what is known of this start of the endpoint."""
        return (self.name, self.born)


def format_incarnation(endpoint: Entry) -> str:
    """Return a name that identifies this incarnation of an endpoint."""
    return f'{endpoint.name}/{endpoint.born}'


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The removal of an endpoint's entry; ``at`` is when it was read."""

    at: float
    name: str
    service: str


@final
class Listing:
    """An endpoint's last entry, and in which time the endpoint may be used.

    ``usable_until`` is infinite while the store lists the endpoint. After the
    entry lapsed, it is the end of the grace period, at which the endpoint is
    removed unless it is listed again. ``usable_from`` is in the future if an
    older copy of the store lists an endpoint that was removed. Until
    ``trusted_from``, an endpoint that is listed again after its removal is used
    only if its service has no other one.
    """

    __slots__ = ('entry', 'trusted_from', 'usable_from', 'usable_until')

    def __init__(self, entry: Entry, trusted_from: float = 0) -> None:
        """Create the listing of an endpoint that the store lists."""
        self.entry = entry
        self.trusted_from = trusted_from
        self.usable_from: float = 0
        self.usable_until = float('inf')
