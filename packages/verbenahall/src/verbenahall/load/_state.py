"""What one instance keeps about the load of each endpoint."""

import math
from collections.abc import Container
from typing import final

from verbenahall.load._messages import Report

_EMPTY_REPORT = Report(0, 0)


@final
class EndpointLoad:
    """The last report of an endpoint, and the local attempts there.

    ``local_attempts`` maps each open attempt of this instance to its work in
    typical requests, and ``local_work`` is the sum. ``local_at_report`` is the
    number of local attempts that were open when the report was received.
    """

    __slots__ = (
        'report',
        'reported_at',
        'local_attempts',
        'local_work',
        'local_at_report',
        'failures',
        'failed_at',
    )

    def __init__(self) -> None:
        """Start without a report."""
        self.report = _EMPTY_REPORT
        self.reported_at = -math.inf
        self.local_attempts: dict[str, float] = {}
        self.local_work: float = 0
        self.local_at_report = 0
        self.failures: float = 0
        self.failed_at = -math.inf


@final
class LoadState:
    """The load of all endpoints by name.

    ``mean_others`` is the mean number of requests that other instances have
    open at an endpoint. ``open_attempts`` is the number of open attempts of
    this instance at all endpoints.
    """

    __slots__ = ('endpoints', 'mean_others', 'open_attempts')

    def __init__(self) -> None:
        """Start without endpoints."""
        self.endpoints: dict[str, EndpointLoad] = {}
        self.mean_others: float = 0
        self.open_attempts = 0

    def get_or_create(self, name: str) -> EndpointLoad:
        """Return the entry of an endpoint, which is created on first use."""
        entry = self.endpoints.get(name)
        if entry is None:
            entry = EndpointLoad()
            self.endpoints[name] = entry
        return entry

    def retain(self, names: Container[str]) -> None:
        """Remove all endpoints but these and those with open attempts.

        Hundreds of endpoints are replaced per day. Without this, removed ones
        would stay in memory and in the number of endpoints for ever.
        """
        self.endpoints = {
            name: entry
            for name, entry in self.endpoints.items()
            if name in names or entry.local_attempts
        }
