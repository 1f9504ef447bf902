"""What the connections of a process hold."""

import dataclasses
import enum
from typing import Final, Self, final

#: Share of the bound that requests may take; answers may take the rest, too.
_REQUEST_SHARE: Final = 0.75
#: Share of the bound that large bodies may reserve. What it leaves of the
#: requests' share is for heads and small bodies only.
_LARGE_SHARE: Final = 0.5


@final
class Activity(enum.Enum):
    """What a connection does with the bytes that it holds.

    A request that runs can't be taken back, so its bytes stay until it ends.
    One that is received can be refused, and so can those that were sent ahead
    while it runs. ``UNREAD`` is an answer that the client does not read.
    """

    RECEIVING = 'receiving'
    RUNNING = 'running'
    SENT_AHEAD = 'sent_ahead'
    UNREAD = 'unread'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds in bytes: of all, of requests, and of large bodies."""

    total: int
    requests: int
    large: int

    @classmethod
    def from_total(cls, total: int) -> Self:
        """Return the bounds for what all connections may hold."""
        return cls(
            total, int(total * _REQUEST_SHARE), int(total * _LARGE_SHARE)
        )


@final
class Share:
    """The bytes that one connection holds.

    ``moved`` bytes of the present request or answer have been transferred since
    ``since``; ``marked`` of them until ``marked_at``, which follows a second
    behind, at ``rate`` bytes a second in the period before it. Of ``count``,
    ``behind`` bytes belong to requests that were sent ahead. ``reserved`` is
    the length of a large body, and ``unsent`` what an answer has left. While
    ``yields`` is set, the connection is about to release all that it holds,
    ``going`` bytes. One that is closed holds nothing more.
    """

    __slots__ = (
        'activity',
        'behind',
        'count',
        'going',
        'is_closed',
        'marked',
        'marked_at',
        'moved',
        'rate',
        'reserved',
        'since',
        'unsent',
        'yields',
    )

    def __init__(self) -> None:
        """Hold nothing."""
        self.activity = Activity.RECEIVING
        self.behind = 0
        self.count = 0
        self.going = 0
        self.is_closed = False
        self.marked = 0
        self.marked_at: float = 0
        self.moved = 0
        self.rate = float('inf')
        self.reserved = 0
        self.since: float = 0
        self.unsent = 0
        self.yields = False


@final
class AccountState:
    """The bytes of all connections of a process.

    ``requests`` counts what was received, and what lies in the kernel because
    it can't be read or sent. ``answers`` counts answers of endpoints.
    ``holding`` are the shares that hold any, ``going`` the bytes of those that
    are about to be released.
    """

    __slots__ = (
        'answers',
        'bounds',
        'going',
        'holding',
        'requests',
        'reserved',
    )

    def __init__(self, bounds: Bounds) -> None:
        """Start without a connection."""
        self.answers = 0
        self.bounds = bounds
        self.going = 0
        self.holding: dict[Share, None] = {}
        self.requests = 0
        self.reserved = 0

    @property
    def held(self) -> int:
        """All bytes held now, those included that are about to go."""
        return self.answers + self.requests
