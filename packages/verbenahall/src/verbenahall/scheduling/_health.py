"""Tracks the schedulers and groups that have not answered recently."""

from typing import Final, final

#: Backoff after a timeout, in seconds: the first one, and the maximum after
#: several in a row. After each backoff, one request waits in vain for a
#: scheduler that is still down.
_MIN_BACKOFF_S: Final = 2.0
_MAX_BACKOFF_S: Final = 32.0


@final
class SchedulerHealth:
    """Unresponsive schedulers or groups, with exponential backoff.

    ``max_backoff_s`` is the maximum backoff in seconds.
    """

    __slots__ = ('_backoffs', '_max_backoff_s')

    def __init__(self, max_backoff_s: float = _MAX_BACKOFF_S) -> None:
        """Start with no timeouts recorded."""
        self._max_backoff_s = max_backoff_s
        self._backoffs: dict[str, tuple[float, float]] = {}

    def record_answer(self, name: str) -> None:
        """Record an answer, which ends the backoff."""
        self._backoffs.pop(name, None)

    def record_timeout(self, name: str, now: float) -> None:
        """Record that an answer has timed out."""
        backoff_s, until = self._backoffs.get(name, (0, now))
        if now < until:
            # Another request has timed out on the same failure.
            return
        backoff_s = min(max(_MIN_BACKOFF_S, 2 * backoff_s), self._max_backoff_s)
        self._backoffs[name] = (backoff_s, now + backoff_s)

    def list_unresponsive(self, now: float) -> frozenset[str]:
        """Return the names that are not to be used now."""
        return frozenset(
            name for name, (_, until) in self._backoffs.items() if now < until
        )
