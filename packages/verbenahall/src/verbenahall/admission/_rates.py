"""Event rates, measured over short time windows."""

from typing import Final, final

#: Minimum length of a window, in seconds.
_WINDOW_S: Final = 0.5
#: Weight of the newest window in the rate.
_SMOOTHING: Final = 0.4
#: An open window that is at least this long, in seconds, limits the rate to
#: what its own count allows.
_STALE_S: Final = 1.0


@final
class RateMeter:
    """Measures events per second; None until the first window has ended."""

    __slots__ = ('_rate', '_window_start', '_count')

    def __init__(self) -> None:
        """Start paused."""
        self._rate: float | None = None
        self._window_start: float | None = None
        self._count = 0

    def resume(self, now: float) -> None:
        """Start a window unless one is open."""
        if self._window_start is None:
            self._window_start = now
            self._count = 0

    def pause(self) -> None:
        """Discard the open window; the rate stays."""
        self._window_start = None

    def count(self, now: float) -> None:
        """Count one event; ignored while paused."""
        if self._window_start is None:
            return
        self._count += 1
        elapsed_s = now - self._window_start
        if elapsed_s >= _WINDOW_S:
            self._update(self._count / elapsed_s)
            self._window_start = now
            self._count = 0

    def scale(self, factor: float) -> None:
        """Multiply the rate, for example after a change of the slots."""
        if self._rate is not None:
            self._rate *= factor

    def read(self, now: float) -> float | None:
        """Return the rate, or less if the open window has few events."""
        if self._rate is None or self._window_start is None:
            return self._rate
        elapsed_s = now - self._window_start
        if elapsed_s < _STALE_S:
            return self._rate
        return min(self._rate, (self._count + 1) / elapsed_s)

    def _update(self, rate: float) -> None:
        if self._rate is None:
            self._rate = rate
        else:
            self._rate += _SMOOTHING * (rate - self._rate)
