"""How long requests of a route take, to tell which ones a stop still bears."""

from typing import Final, final

from verbenahall.clock import Clock

#: The longest of the present and of the last window counts, in seconds.
_WINDOW_S: Final = 20.0
_FOREVER_S: Final = float('inf')
#: Factor on it: another request may take longer than all before.
_MARGIN: Final = 1.5
#: Routes that are kept at most; of others nothing is known.
_MAX_ROUTES: Final = 4096


@final
class RunTimes:
    """The longest times of late from a request to its whole answer, by route.

    An example::

        run_times = RunTimes(clock.monotonic)
        run_times.record('summary', 0.8)
        run_times.estimate('summary', left_s=5)  # 1.2
        run_times.estimate('new', left_s=5)  # 5
    """

    __slots__ = ('_before', '_now', '_present', '_started_at')

    def __init__(self, now: Clock) -> None:
        """Start without a request."""
        self._before: dict[str, float] = {}
        self._now = now
        self._present: dict[str, float] = {}
        self._started_at = now()

    def record(self, route: str, took_s: float) -> None:
        """Record that a request got its whole answer after ``took_s``."""
        now = self._now()
        if now - self._started_at >= _WINDOW_S:
            self._before = self._present
            self._present = {}
            self._started_at = now
        known = self._present.get(route)
        if known is not None or len(self._present) < _MAX_ROUTES:
            self._present[route] = max(known or 0, took_s)

    def estimate(
        self, route: str, left_s: float, unknown_s: float = _FOREVER_S
    ) -> float:
        """Return how long another request may take, in seconds.

        ``left_s`` is the time that its caller waits, and ``unknown_s`` counts
        for a route of which nothing is known.
        """
        known = [
            window[route]
            for window in (self._before, self._present)
            if route in window
        ]
        return min(left_s, max(known) * _MARGIN if known else unknown_s)
