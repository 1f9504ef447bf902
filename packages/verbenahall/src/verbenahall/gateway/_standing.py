"""What this process's own sends say about endpoints.

A health check may pass while requests fail, and a store entry outlives its
endpoint by seconds, so the outcomes of our own sends decide.
"""

from collections.abc import Collection
from typing import Final, final

#: Weight of one outcome in the share of failures.
_LEARNING: Final = 0.2
#: An endpoint that cannot be reached is avoided for this long at most, in
#: seconds, or until a probe gets through. Without probes each request that
#: tried it again waited a whole connect for nothing.
_PAUSE_S: Final = 5.0
#: An endpoint that has refused is left alone for this long, in seconds: one
#: that is full has room again, and one that changes its role is heard of.
_REFUSAL_S: Final = 0.5
#: The share of failures halves in this time without sends, in seconds.
_HALF_LIFE_S: Final = 5.0


@final
class Standing:
    """One endpoint's recent outcomes."""

    __slots__ = (
        'failing',
        'noted_at',
        'paused_until',
        'refusing_until',
        'open',
    )

    def __init__(self) -> None:
        """Start with nothing against the endpoint."""
        self.failing: float = 0
        self.noted_at: float = 0
        self.paused_until = -float('inf')
        self.refusing_until = -float('inf')
        self.open = 0


@final
class Standings:
    """Outcomes by the endpoints' names."""

    __slots__ = ('_standings',)

    def __init__(self) -> None:
        """Start without outcomes."""
        self._standings: dict[str, Standing] = {}

    def of(self, endpoint: str) -> Standing:
        """Return an endpoint's standing."""
        return self._standings.setdefault(endpoint, Standing())

    def knows(self, endpoint: str) -> bool:
        """Whether anything is kept of an endpoint."""
        return endpoint in self._standings

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the endpoints that are no longer listed."""
        for name in self._standings.keys() - names:
            self._standings.pop(name)

    def note(self, endpoint: str, now: float, *, good: bool) -> None:
        """Note how a send ended."""
        standing = self.of(endpoint)
        failing = self.failing(endpoint, now)
        target = 0 if good else 1
        standing.failing = failing + _LEARNING * (target - failing)
        standing.noted_at = now

    def note_unreachable(self, endpoint: str, now: float) -> None:
        """Avoid an endpoint that took no connection or fell silent."""
        self.note(endpoint, now, good=False)
        self.of(endpoint).paused_until = now + _PAUSE_S

    def note_refusal(
        self,
        endpoint: str,
        now: float,
        for_s: float = _REFUSAL_S,
    ) -> None:
        """Leave an endpoint alone that takes no work for the moment.

        An engine that changes its role refuses everything for seconds while
        the store still lists its old one.
        """
        self.of(endpoint).refusing_until = now + for_s

    def note_reached(self, endpoint: str) -> None:
        """Use an endpoint again that took a connection."""
        self.of(endpoint).paused_until = -float('inf')

    def unreachable(self, now: float) -> list[str]:
        """Return the endpoints that are avoided now."""
        return [
            name
            for name, standing in self._standings.items()
            if now < standing.paused_until
        ]

    def failing(self, endpoint: str, now: float) -> float:
        """Return the share of failures, fading while nothing is sent."""
        standing = self.of(endpoint)
        fade = 0.5 ** ((now - standing.noted_at) / _HALF_LIFE_S)
        return standing.failing * fade

    def reachable(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint takes connections, as far as is known."""
        return now >= self.of(endpoint).paused_until

    def paused(self, endpoint: str, now: float) -> bool:
        """Whether an endpoint is avoided for the moment."""
        standing = self.of(endpoint)
        return now < max(standing.paused_until, standing.refusing_until)
