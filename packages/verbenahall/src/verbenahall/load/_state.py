"""What one instance has seen of each endpoint's load."""

import math
from collections.abc import Container
from typing import final

from verbenahall.load._messages import Report

_NOTHING_REPORTED = Report(0, 0)


@final
class EndpointLoad:
    """One endpoint: its last report and this instance's own open work.

    ``own`` maps each open attempt to its work in typical requests.
    ``own_at_report`` is how many attempts were open when the report came.
    """

    __slots__ = (
        'report',
        'reported_at',
        'own',
        'own_work',
        'own_at_report',
        'failures',
        'failed_at',
    )

    def __init__(self) -> None:
        """Start without a report."""
        self.report = _NOTHING_REPORTED
        self.reported_at = -math.inf
        self.own: dict[str, float] = {}
        self.own_work: float = 0
        self.own_at_report = 0
        self.failures: float = 0
        self.failed_at = -math.inf


@final
class LoadState:
    """All endpoints by name, and the mean of what others have open there.

    ``open`` counts this instance's open attempts at all of them.
    """

    __slots__ = ('endpoints', 'mean_others', 'open')

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.endpoints: dict[str, EndpointLoad] = {}
        self.mean_others: float = 0
        self.open = 0

    def of(self, name: str) -> EndpointLoad:
        """Return the endpoint's entry, made on first use."""
        entry = self.endpoints.get(name)
        if entry is None:
            entry = EndpointLoad()
            self.endpoints[name] = entry
        return entry

    def keep(self, names: Container[str]) -> None:
        """Forget all other endpoints, unless work is open there.

        Hundreds are replaced in a day; those that are gone would count
        among the endpoints for ever.
        """
        self.endpoints = {
            name: entry
            for name, entry in self.endpoints.items()
            if name in names or entry.own
        }
