"""What sends, probes and alerts change in the health of endpoints."""

from collections.abc import Iterable

from verbenahall.endpoint_health._breakers import (
    Phase,
    Sending,
    admit_trials,
    begin_trial,
    end_trial,
    open_breaker,
    record_trial,
)
from verbenahall.endpoint_health._health import EndpointHealthTable


def begin_send(
    table: EndpointHealthTable, endpoint: str, key: str, now: float
) -> None:
    """Count a send as open; ``key`` identifies its request."""
    health = table.get(endpoint)
    health.open += 1
    begin_trial(health.breaker, Sending.OWN, key, now)


def end_send(table: EndpointHealthTable, endpoint: str, key: str) -> None:
    """Stop counting a send as open."""
    health = table.get(endpoint)
    # The record is a new one if the endpoint was unlisted meanwhile.
    health.open = max(0, health.open - 1)
    end_trial(health.breaker, Sending.OWN, key)


def begin_trials(
    table: EndpointHealthTable, endpoints: Iterable[str], key: str, now: float
) -> None:
    """Count a request that another instance sends to some endpoints."""
    for name in filter(table.has, endpoints):
        begin_trial(table.get(name).breaker, Sending.ASSIGNING, key, now)


def record_trials(
    table: EndpointHealthTable,
    endpoints: Iterable[str],
    now: float,
    *,
    good: bool,
) -> None:
    """Record the outcome of a request that another instance has sent."""
    for name in filter(table.has, endpoints):
        record_trial(table.get(name).breaker, Sending.ASSIGNING, now, good=good)


def end_trials(
    table: EndpointHealthTable, endpoints: Iterable[str], key: str
) -> None:
    """End the trials of a request that another instance has sent."""
    for name in filter(table.has, endpoints):
        end_trial(table.get(name).breaker, Sending.ASSIGNING, key)


def record_alerted(
    table: EndpointHealthTable,
    endpoint: str,
    now: float,
    born: int,
    probe_after_s: float,
) -> None:
    """Exclude an endpoint that a peer does not reach.

    It is probed after ``probe_after_s`` seconds. One that is excluded already
    stays so for its own reason.
    """
    health = table.get(endpoint)
    if health.breaker.find_phase(now) is Phase.OPEN:
        return
    health.born = born
    open_breaker(health.breaker, now, probe_after_s=probe_after_s)
    health.breaker.alerted = True


def record_reachable(table: EndpointHealthTable, endpoint: str) -> None:
    """Try an endpoint again that accepted a connection."""
    admit_trials(table.get(endpoint).breaker)


def list_probe_due(table: EndpointHealthTable, now: float) -> list[str]:
    """Return the excluded endpoints that may be probed."""
    return [
        name
        for name, health in table.records.items()
        if health.breaker.is_probe_due(now)
    ]
