"""What an endpoint says of itself, and what an instance keeps of it."""

import dataclasses
from typing import final

from verbenahall.fleet import Role


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint's entry.

    ``born`` tells two starts under the same name apart. ``change`` counts
    the entry's changes since that start. ``role`` is None for endpoints that
    are no engines, ``cold_s`` how long it stays slow after its start. The
    platform may take a ``spot`` instance back at any time.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """A removal: when it was read, and whose entry it was."""

    at: float
    name: str
    service: str


@final
class Seat:
    """A listed endpoint: its newest entry, and until when it may be used.

    ``until`` is infinite while the store lists the endpoint. When the entry
    has lapsed together with others it is the moment after which an endpoint
    that has not come back counts as gone.
    """

    __slots__ = ('entry', 'until')

    def __init__(self, entry: Entry) -> None:
        """List an endpoint."""
        self.entry = entry
        self.until = float('inf')
