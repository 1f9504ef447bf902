"""Rates measured over short stretches of time."""

from typing import Final, final

_STRETCH_S: Final = 0.5
#: Weight of the newest stretch.
_WEIGHT: Final = 0.4
#: After this time without a full stretch the old rate is doubted.
_DOUBT_S: Final = 1.0


@final
class RateMeter:
    """Events a second; None until a first stretch was measured."""

    __slots__ = ('_rate', '_since', '_count')

    def __init__(self) -> None:
        """Start paused."""
        self._rate: float | None = None
        self._since: float | None = None
        self._count = 0

    def resume(self, now: float) -> None:
        """Begin a stretch unless one is open."""
        if self._since is None:
            self._since = now
            self._count = 0

    def pause(self) -> None:
        """Drop the open stretch; the rate stays."""
        self._since = None

    def count(self, now: float) -> None:
        """Count one event; outside a stretch it does not count."""
        if self._since is None:
            return
        self._count += 1
        seconds = now - self._since
        if seconds >= _STRETCH_S:
            self._learn(self._count / seconds)
            self._since = now
            self._count = 0

    def scale(self, factor: float) -> None:
        """Expect the rate to change by a factor."""
        if self._rate is not None:
            self._rate *= factor

    def read(self, now: float) -> float | None:
        """Return the rate, or less when events have since stayed away."""
        if self._rate is None or self._since is None:
            return self._rate
        seconds = now - self._since
        if seconds < _DOUBT_S:
            return self._rate
        return min(self._rate, (self._count + 1) / seconds)

    def _learn(self, rate: float) -> None:
        if self._rate is None:
            self._rate = rate
        else:
            self._rate += _WEIGHT * (rate - self._rate)
