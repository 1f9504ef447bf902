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
class EndpointHealth:
    """Recent outcomes of the sends to one endpoint.

    ``failure_rate`` is the moving average of failures at the time
    ``updated_at``, between 0 and 1, and ``open`` the number of sends that are
    under way.
    """

    __slots__ = (
        'failure_rate',
        'updated_at',
        'unreachable_until',
        'refusing_until',
        'open',
    )

    def __init__(self) -> None:
        """Start without failures."""
        self.failure_rate: float = 0
        self.updated_at: float = 0
        self.unreachable_until = -float('inf')
        self.refusing_until = -float('inf')
        self.open = 0


@final
class EndpointHealthTable:
    """Recent outcomes by endpoint name."""

    __slots__ = ('_health',)

    def __init__(self) -> None:
        """Start without outcomes."""
        self._health: dict[str, EndpointHealth] = {}

    def get(self, endpoint: str) -> EndpointHealth:
        """Return an endpoint's record; creates it if it is missing."""
        return self._health.setdefault(endpoint, EndpointHealth())

    def has(self, endpoint: str) -> bool:
        """Whether there is a record of an endpoint."""
        return endpoint in self._health

    def retain(self, names: Collection[str]) -> None:
        """Remove the records of all other endpoints."""
        for name in self._health.keys() - names:
            self._health.pop(name)

    def record_outcome(self, endpoint: str, now: float, *, good: bool) -> None:
        """Record the outcome of a send."""
        health = self.get(endpoint)
        failure_rate = self.failure_rate(endpoint, now)
        target = 0 if good else 1
        health.failure_rate = failure_rate + _OUTCOME_WEIGHT * (
            target - failure_rate
        )
        health.updated_at = now

    def record_unreachable(self, endpoint: str, now: float) -> None:
        """Avoid an endpoint that accepts no connection or is unresponsive."""
        self.record_outcome(endpoint, now, good=False)
        self.get(endpoint).unreachable_until = now + _UNREACHABLE_S

    def record_refusal(
        self,
        endpoint: str,
        now: float,
        for_s: float = _REFUSAL_S,
    ) -> None:
        """Avoid an endpoint that accepts no work at the moment.

        An engine that changes its role refuses all requests for seconds while
        the store still lists its old role.
        """
        self.get(endpoint).refusing_until = now + for_s

    def record_reachable(self, endpoint: str) -> None:
        """Use an endpoint again that accepted a connection."""
        self.get(endpoint).unreachable_until = -float('inf')

    def list_unreachable(self, now: float) -> list[str]:
        """Return the endpoints that are avoided as unreachable."""
        return [
            name
            for name, health in self._health.items()
            if now < health.unreachable_until
        ]

    def failure_rate(self, endpoint: str, now: float) -> float:
        """Return the failure rate, which decays while nothing is sent."""
        health = self.get(endpoint)
        decay = 0.5 ** ((now - health.updated_at) / _HALF_LIFE_S)
        return health.failure_rate * decay

    def is_reachable(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is not marked as unreachable."""
        return now >= self.get(endpoint).unreachable_until

    def is_avoided(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is avoided, as unreachable or refusing."""
        health = self.get(endpoint)
        return now < max(health.unreachable_until, health.refusing_until)
