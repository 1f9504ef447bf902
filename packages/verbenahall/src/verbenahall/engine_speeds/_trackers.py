"""Ratios of measured to expected durations, at present and in the long term."""

import math
import statistics
from typing import Final, final

#: Measurements whose median is the short-term value: a single one that waited,
#: or whose prompt was cached unexpectedly, has no effect.
_WINDOW: Final = 3
#: Least measurements in the window for the median to count.
_MIN_WINDOW: Final = 2
#: Age in seconds at which a measurement leaves the window.
_WINDOW_S: Final = 2.0
#: Half-life in seconds of the short-term value without new measurements: slow
#: phases of engines last about as long.
_HALF_LIFE_S: Final = 1.0
#: Maximum weight of the earlier measurements in the long-term value, as a
#: number of measurements.
_MAX_SAMPLES: Final = 30
#: Measurements that a long-term value needs to be relied upon.
MIN_SAMPLES: Final = 6
#: Bounds of a measured ratio. Engines differ by up to 2.5 times, and slow
#: phases are 2.5 times slower again.
_MIN_RATIO: Final = 0.15
_MAX_RATIO: Final = 7.0
#: Largest factor: the ratio of two ratios at these bounds.
MAX_FACTOR: Final = _MAX_RATIO / _MIN_RATIO
#: Assumed deviation of one measurement before there are any, and with the value
#: of another instance, as logarithms.
_DEVIATION: Final = 0.3
_REPORTED_DEVIATION: Final = 0.1
#: Least share of the engine's time for a measurement to enter the window.
_MIN_SHARE: Final = 0.5


@final
class RatioTracker:
    """The ratio of measured to expected durations of one engine.

    All values are natural logarithms of the ratio. ``samples`` is the weight
    of ``long_term``, ``measured`` the part of it that was measured here.

    ::

        tracker = RatioTracker()
        tracker.observe(2.5, share=1, now=10.0)
    """

    __slots__ = ('samples', 'measured', 'long_term', '_deviation', '_window')

    def __init__(self, long_term: float | None = None) -> None:
        """Start with the long-term value of another instance, or with none."""
        self.long_term = long_term or 0
        self.samples: float = 0 if long_term is None else MIN_SAMPLES
        self.measured: float = 0
        # Another instance reports only values that it is certain of.
        is_certain = long_term is not None
        self._deviation = _REPORTED_DEVIATION if is_certain else _DEVIATION
        self._window: tuple[tuple[float, float], ...] = ()

    @property
    def is_known(self) -> bool:
        """Whether there are enough measurements to rely on."""
        return self.samples >= MIN_SAMPLES

    @property
    def error(self) -> float:
        """Standard error of the long-term value."""
        return self._deviation / math.sqrt(max(1, self.samples))

    def observe(self, ratio: float, share: float, now: float) -> None:
        """Record one measurement at the time ``now``.

        ``share`` is how much of the engine's time it had, from 0 to 1. One
        with a small share says little: most of it was work of others.
        """
        value = math.log(min(_MAX_RATIO, max(_MIN_RATIO, ratio)))
        if share >= _MIN_SHARE:
            recent = self._list_recent(now)
            self._window = (*recent, (now, value))[-_WINDOW:]
        if self.samples:
            gain = share / (self.samples + 1)
            difference = value - self.long_term
            self.long_term += gain * difference
            self._deviation += gain * (abs(difference) - self._deviation)
        else:
            self.long_term = value
        self.samples = min(_MAX_SAMPLES, self.samples + share)
        self.measured = min(_MAX_SAMPLES, self.measured + share)

    def estimate(self, now: float) -> float:
        """Return the value at ``now``, the long-term one if nothing is new."""
        recent = self._list_recent(now)
        if len(recent) < _MIN_WINDOW:
            return self.long_term
        median = statistics.median_low([value for _, value in recent])
        age_s = max(0, now - recent[-1][0])
        decay: float = 0.5 ** (age_s / _HALF_LIFE_S)
        return decay * median + (1 - decay) * self.long_term

    def _list_recent(self, now: float) -> tuple[tuple[float, float], ...]:
        since = now - _WINDOW_S
        return tuple(one for one in self._window if one[0] > since)
