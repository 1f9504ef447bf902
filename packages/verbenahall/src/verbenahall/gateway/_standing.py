"""What this process's own sends say about endpoints.

A health check may pass while requests fail, and a store entry outlives its
endpoint by seconds, so the outcomes of our own sends decide.
"""

from typing import Final, final

#: Weight of one outcome in the share of failures.
_LEARNING: Final = 0.2
#: After a failed connect the endpoint is avoided for this long, in seconds;
#: doubled with each further one.
_FIRST_PAUSE_S: Final = 0.5
_LONGEST_PAUSE_S: Final = 4.0
#: The share of failures halves in this time without sends, in seconds.
_HALF_LIFE_S: Final = 5.0


@final
class Standing:
    """One endpoint's recent outcomes."""

    __slots__ = ('failing', 'noted_at', 'pauses', 'paused_until', 'open')

    def __init__(self) -> None:
        """Start with nothing against the endpoint."""
        self.failing: float = 0
        self.noted_at: float = 0
        self.pauses = 0
        self.paused_until = -float('inf')
        self.open = 0


@final
class Standings:
    """Outcomes by endpoint, keyed by name and start."""

    __slots__ = ('_standings',)

    def __init__(self) -> None:
        """Start without outcomes."""
        self._standings: dict[str, Standing] = {}

    def of(self, endpoint: str) -> Standing:
        """Return an endpoint's standing."""
        return self._standings.setdefault(endpoint, Standing())

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._standings.pop(endpoint, None)

    def note(self, endpoint: str, now: float, *, good: bool) -> None:
        """Note how a send ended."""
        standing = self.of(endpoint)
        failing = self.failing(endpoint, now)
        target = 0 if good else 1
        standing.failing = failing + _LEARNING * (target - failing)
        standing.noted_at = now
        if good:
            standing.pauses = 0

    def note_unreachable(self, endpoint: str, now: float) -> None:
        """Avoid an endpoint for a while that took no connection."""
        self.note(endpoint, now, good=False)
        standing = self.of(endpoint)
        pause = _FIRST_PAUSE_S * 2**standing.pauses
        standing.paused_until = now + min(pause, _LONGEST_PAUSE_S)
        standing.pauses += 1

    def failing(self, endpoint: str, now: float) -> float:
        """Return the share of failures, fading while nothing is sent."""
        standing = self.of(endpoint)
        fade = 0.5 ** ((now - standing.noted_at) / _HALF_LIFE_S)
        return standing.failing * fade

    def paused(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is avoided because it took no connection."""
        return now < self.of(endpoint).paused_until
