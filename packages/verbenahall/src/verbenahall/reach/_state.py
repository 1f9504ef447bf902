"""What is known of the way to the endpoints of each service."""

from typing import final


@final
class ServiceReach:
    """Signs of trouble and the last check of one service.

    ``open_sends`` counts the sends under way, ``silent_since`` is since when
    none of them got a response. ``in_doubt`` is set by a sign of trouble until
    the next check. ``checked_at`` is when the last check ended, ``reached`` how
    many checks in a row have reached an endpoint, and ``lost_at`` since when
    none is reached, None while one is. Times are in monotonic seconds.
    """

    __slots__ = (
        'checked_at',
        'in_doubt',
        'lost_at',
        'open_sends',
        'reached',
        'silent_since',
    )

    def __init__(self) -> None:
        """Start as reachable."""
        self.checked_at = -float('inf')
        self.in_doubt = False
        self.lost_at: float | None = None
        self.open_sends = 0
        self.reached = 0
        self.silent_since = -float('inf')


@final
class ReachTable:
    """The services to which this instance has sent requests, by name."""

    __slots__ = ('services',)

    def __init__(self) -> None:
        """Start without services."""
        self.services: dict[str, ServiceReach] = {}

    def get(self, service: str) -> ServiceReach:
        """Return a service's record; creates it if it is missing."""
        return self.services.setdefault(service, ServiceReach())

    def is_lost(self, service: str) -> bool:
        """Whether no endpoint of a service is reached."""
        found = self.services.get(service)
        return found is not None and found.lost_at is not None

    def is_doubtful(self, service: str) -> bool:
        """Whether a service is not reached, or a check will show it soon."""
        return self.is_lost(service) or self.get(service).in_doubt

    def list_lost(self) -> tuple[str, ...]:
        """Return the services of which no endpoint is reached."""
        return tuple(
            name
            for name, found in self.services.items()
            if found.lost_at is not None
        )
