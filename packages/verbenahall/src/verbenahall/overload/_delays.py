"""Estimates by how much first events are later than expected, by engine."""

from collections.abc import Mapping
from typing import Final, final

#: Weight of one first event in the smoothed delay of its engine. Few first
#: events come from one engine in the half second for which it is slow.
_SMOOTHING: Final = 0.3
#: Half-life of an estimate without new first events, in seconds. Without it, an
#: engine that was slow would get no request that shows that it has recovered.
_HALF_LIFE_S: Final = 0.5
#: Time without first events after which an engine is removed, in seconds; by
#: then the estimate has fallen to a thousandth.
_RETENTION_S: Final = 5.0


@final
class _Delay:
    """The smoothed delay and its mean deviation, in seconds."""

    __slots__ = ('observed_at', '_deviation_s', '_mean_s')

    def __init__(self) -> None:
        """Start with a bound of zero."""
        self.observed_at: float = 0
        self._deviation_s: float = 0
        self._mean_s: float = 0

    def observe(self, seconds: float, now: float) -> None:
        """Record one delay."""
        decay = self._decay(now)
        error_s = seconds - self._mean_s * decay
        self._mean_s = self._mean_s * decay + _SMOOTHING * error_s
        deviation_s = self._deviation_s * decay
        deviation_s += _SMOOTHING * (abs(error_s) - deviation_s)
        self._deviation_s = deviation_s
        self.observed_at = now

    def estimate(self, now: float) -> float:
        """Return the expected delay in seconds."""
        return self._mean_s * self._decay(now)

    def estimate_bound(self, now: float) -> float:
        """Return the mean plus the mean deviation, in seconds."""
        return (self._mean_s + self._deviation_s) * self._decay(now)

    def _decay(self, now: float) -> float:
        return 0.5 ** (max(0, now - self.observed_at) / _HALF_LIFE_S)


@final
class EngineDelays:
    """Delays of the most recent first events, by the engine that prefilled.

    A plan on one engine is not delayed by the errors on another. The mean is
    the delay to expect; whether a request can still be on time is decided by a
    bound that few delays exceed, as in the retransmission timer of TCP. By the
    mean, half of the requests that are sent at the last moment would be late.
    """

    __slots__ = ('_delays',)

    def __init__(self) -> None:
        """Start without engines."""
        self._delays: dict[str, _Delay] = {}

    def observe(self, engine: str, seconds: float, now: float) -> None:
        """Record by how much a first event was later than expected."""
        delay = self._delays.get(engine)
        if delay is None:
            delay = _Delay()
            self._delays[engine] = delay
        delay.observe(seconds, now)

    def estimate(self, engine: str, now: float) -> float:
        """Return the expected delay at an engine in seconds, 0 if unknown."""
        delay = self._delays.get(engine)
        return 0 if delay is None else delay.estimate(now)

    def estimate_bound(self, engine: str, now: float) -> float:
        """Return the bound on the delay at an engine, 0 if unknown."""
        delay = self._delays.get(engine)
        return 0 if delay is None else delay.estimate_bound(now)

    def estimate_all(self, now: float) -> Mapping[str, float]:
        """Return the expected delays by engine, in seconds."""
        return {
            name: known.estimate(now) for name, known in self._delays.items()
        }

    def estimate_bounds(self, now: float) -> Mapping[str, float]:
        """Return the bounds by engine; removes engines that are not used."""
        self._delays = {
            name: known
            for name, known in self._delays.items()
            if now - known.observed_at < _RETENTION_S
        }
        return {
            name: known.estimate_bound(now)
            for name, known in self._delays.items()
        }
