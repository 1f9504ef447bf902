"""What an instance knows of the alerts of the last seconds."""

from typing import Final, final

from verbenahall.endpoint_alerts._messages import Why
from verbenahall.roster import Incarnation

#: Most incarnations of which reports are kept, about a megabyte.
_MAX_REPORTS: Final = 4096
#: How long reports are kept, in seconds; endpoints that stay away are found out
#: again after this.
_RETENTION_S: Final = 10.0


@final
class Report:
    """The alerts about one incarnation.

    ``reported_at`` is when each data centre has first reported it, by what it
    has found out; ``relayed`` holds the reports that were relayed. The endpoint
    was excluded because of them at ``accepted_at``, None if it was not, and a
    probe has last reached it at ``reached_at``.
    """

    __slots__ = (
        'accepted_at',
        'first_at',
        'reported_at',
        'reached_at',
        'relayed',
    )

    def __init__(self, now: float) -> None:
        """Start without an alert."""
        self.accepted_at: float | None = None
        self.first_at = now
        self.reported_at: dict[tuple[Why, str], float] = {}
        self.reached_at = -float('inf')
        self.relayed: set[tuple[Why, str]] = set()

    def record_reached(self, at: float) -> None:
        """Forget the alerts about an endpoint that a probe has reached."""
        self.accepted_at = None
        self.reported_at.clear()
        self.relayed.clear()
        self.reached_at = max(self.reached_at, at)


@final
class AlertTable:
    """The reports by incarnation, in order of the first alert.

    ``suspected`` holds for each service when an alert on an incarnation would
    have excluded it.
    """

    __slots__ = ('reports', 'suspected')

    def __init__(self) -> None:
        """Start without alerts."""
        self.reports: dict[Incarnation, Report] = {}
        self.suspected: dict[str, dict[Incarnation, float]] = {}

    def touch(self, incarnation: Incarnation, now: float) -> Report:
        """Return the report of an incarnation; creates it if it is missing."""
        self._remove_expired(now)
        report = self.reports.get(incarnation)
        if report is None:
            report = Report(now)
            self.reports[incarnation] = report
        return report

    def _remove_expired(self, now: float) -> None:
        while self.reports:
            oldest = next(iter(self.reports))
            is_expired = now - self.reports[oldest].first_at > _RETENTION_S
            if not is_expired and len(self.reports) < _MAX_REPORTS:
                return
            self.reports.pop(oldest)
