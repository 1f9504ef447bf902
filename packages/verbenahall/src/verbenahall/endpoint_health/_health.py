"""Health of endpoints by the outcomes of sends and by alerts of peers.

A health check may pass while requests fail, and a store entry outlives its
endpoint by seconds, so endpoints are avoided by the outcomes of sends.
"""

from collections.abc import Mapping
from typing import Final, final

from verbenahall.endpoint_health._breakers import (
    Breaker,
    Phase,
    Sending,
    close_breaker,
    open_breaker,
    record_trial,
)
from verbenahall.placement import FailureRates
from verbenahall.roster import Listing

#: An endpoint that has refused a request is avoided for this long, in seconds.
#: By then a full one has capacity again, and a change of its role has been
#: reported.
_REFUSAL_S: Final = 0.5


@final
class EndpointHealth:
    """Recent outcomes of the sends to one endpoint.

    ``open`` is the number of sends under way, ``answered_at`` the time of the
    last answer, and ``born`` the start of the endpoint that ``breaker`` applies
    to, None if it is not known.
    """

    __slots__ = ('answered_at', 'born', 'breaker', 'open', 'refusing_until')

    def __init__(self) -> None:
        """Start without failures."""
        self.answered_at = -float('inf')
        self.born: int | None = None
        self.breaker = Breaker()
        self.refusing_until = -float('inf')
        self.open = 0


@final
class EndpointHealthTable:
    """Recent outcomes by endpoint name, in ``records``."""

    __slots__ = ('records', '_failures')

    def __init__(self) -> None:
        """Start without outcomes."""
        self._failures = FailureRates()
        self.records: dict[str, EndpointHealth] = {}

    def get(self, endpoint: str) -> EndpointHealth:
        """Return an endpoint's record; creates it if it is missing."""
        health = self.records.get(endpoint)
        if health is None:
            health = EndpointHealth()
            self.records[endpoint] = health
        return health

    def has(self, endpoint: str) -> bool:
        """Whether there is a record of an endpoint."""
        return endpoint in self.records

    def retain(self, listings: Mapping[str, Listing]) -> None:
        """Keep the records of the listed endpoints only.

        One that was started again under its name is not excluded for what its
        predecessor did.
        """
        self._failures.retain(listings)
        for name in self.records.keys() - listings.keys():
            self.records.pop(name)
        for name, health in self.records.items():
            born = listings[name].entry.born
            if health.born not in {None, born}:
                close_breaker(health.breaker)
            health.born = born

    def record_outcome(self, endpoint: str, now: float, *, good: bool) -> None:
        """Record the outcome of a send."""
        self._failures.record(endpoint, now, failed=not good)
        breaker = self.get(endpoint).breaker
        record_trial(breaker, Sending.OWN, now, good=good)

    def record_unreachable(
        self, endpoint: str, now: float, born: int | None = None
    ) -> None:
        """Exclude an endpoint that accepts no connection or is unresponsive."""
        self._failures.record(endpoint, now, failed=True)
        health = self.get(endpoint)
        health.born = born
        health.breaker.alerted = False
        open_breaker(health.breaker, now)

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

    def clear(self, endpoint: str) -> None:
        """Forget the failures of an endpoint, which had another cause."""
        self._failures.clear(endpoint)
        close_breaker(self.get(endpoint).breaker)

    def list_unreachable(self, now: float) -> list[str]:
        """Return the endpoints that are excluded as unreachable."""
        return [
            name for name in self.records if not self.is_reachable(name, now)
        ]

    def failure_rate(self, endpoint: str, now: float) -> float:
        """Return the failure rate, which decays while nothing is sent."""
        return self._failures.estimate(endpoint, now)

    def is_reachable(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is not marked as unreachable."""
        health = self.records.get(endpoint)
        if health is None:
            return True
        return health.breaker.find_phase(now) is not Phase.OPEN

    def is_avoided(
        self, endpoint: str, now: float, sending: Sending = Sending.OWN
    ) -> bool:
        """Whether an endpoint is avoided: excluded, on trial, or refusing."""
        health = self.records.get(endpoint)
        if health is None:
            return False
        if now < health.refusing_until:
            return True
        return not health.breaker.admits(now, sending)


def list_failing(table: EndpointHealthTable, now: float) -> list[str]:
    """Return the endpoints that are marked as unreachable, or on trial."""
    return [
        name
        for name, health in table.records.items()
        if health.breaker.find_phase(now) is not Phase.CLOSED
    ]
