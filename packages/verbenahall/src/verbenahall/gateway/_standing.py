"""Health of endpoints by the outcomes of this process's own sends.

A health check may pass while requests fail, and a store entry outlives its
endpoint by seconds, so endpoints are avoided by the outcomes of sends.
"""

from collections.abc import Collection
from typing import Final, final

#: Weight of one outcome in the moving average of failures.
_OUTCOME_WEIGHT: Final = 0.2
#: An unreachable endpoint is avoided for this long at most, in seconds, or
#: until a probe succeeds. Without probes, each request that tried it again lost
#: a whole connect timeout.
_UNREACHABLE_S: Final = 5.0
#: An endpoint that has refused a request is avoided for this long, in seconds.
#: By then a full one has capacity again, and a change of its role has been
#: reported.
_REFUSAL_S: Final = 0.5
#: Time without sends in which the failure rate halves, in seconds.
_HALF_LIFE_S: Final = 5.0


@final
class Standing:
    """Recent outcomes of the sends to one endpoint.

    ``failing`` is the failure rate at the time ``updated_at``, between 0 and
    1, and ``open`` the number of sends that are under way.
    """

    __slots__ = (
        'failing',
        'updated_at',
        'unreachable_until',
        'refusing_until',
        'open',
    )

    def __init__(self) -> None:
        """Start without failures."""
        self.failing: float = 0
        self.updated_at: float = 0
        self.unreachable_until = -float('inf')
        self.refusing_until = -float('inf')
        self.open = 0


@final
class Standings:
    """Recent outcomes by endpoint name."""

    __slots__ = ('_standings',)

    def __init__(self) -> None:
        """Start without outcomes."""
        self._standings: dict[str, Standing] = {}

    def of(self, endpoint: str) -> Standing:
        """Return an endpoint's record, which is created if it is missing."""
        return self._standings.setdefault(endpoint, Standing())

    def knows(self, endpoint: str) -> bool:
        """Whether there is a record of an endpoint."""
        return endpoint in self._standings

    def keep_only(self, names: Collection[str]) -> None:
        """Remove the records of all other endpoints."""
        for name in self._standings.keys() - names:
            self._standings.pop(name)

    def note(self, endpoint: str, now: float, *, good: bool) -> None:
        """Record the outcome of a send."""
        standing = self.of(endpoint)
        failing = self.failing(endpoint, now)
        target = 0 if good else 1
        standing.failing = failing + _OUTCOME_WEIGHT * (target - failing)
        standing.updated_at = now

    def note_unreachable(self, endpoint: str, now: float) -> None:
        """Avoid an endpoint that accepts no connection or is unresponsive."""
        self.note(endpoint, now, good=False)
        self.of(endpoint).unreachable_until = now + _UNREACHABLE_S

    def note_refusal(
        self,
        endpoint: str,
        now: float,
        for_s: float = _REFUSAL_S,
    ) -> None:
        """Avoid an endpoint that accepts no work at the moment.

        An engine that changes its role refuses all requests for seconds while
        the store still lists its old role.
        """
        self.of(endpoint).refusing_until = now + for_s

    def note_reached(self, endpoint: str) -> None:
        """Use an endpoint again that accepted a connection."""
        self.of(endpoint).unreachable_until = -float('inf')

    def unreachable(self, now: float) -> list[str]:
        """Return the endpoints that are avoided as unreachable."""
        return [
            name
            for name, standing in self._standings.items()
            if now < standing.unreachable_until
        ]

    def failing(self, endpoint: str, now: float) -> float:
        """Return the failure rate, which decays while nothing is sent."""
        standing = self.of(endpoint)
        decay = 0.5 ** ((now - standing.updated_at) / _HALF_LIFE_S)
        return standing.failing * decay

    def reachable(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is not marked as unreachable."""
        return now >= self.of(endpoint).unreachable_until

    def paused(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is avoided, as unreachable or refusing."""
        standing = self.of(endpoint)
        return now < max(standing.unreachable_until, standing.refusing_until)
