"""Estimates by how much first events are later than expected, by engine."""

from collections.abc import Mapping
from typing import Final, final

#: Half-life of the weight of a first event, in seconds. Engines that slow down
#: do so for about this long.
_HALF_LIFE_S: Final = 0.5
#: Weight of the assumption that an engine is as fast as expected, relative to
#: a first event that has just come. A single late event thus counts half, and
#: the estimate fades when an engine gets no more requests. Otherwise one that
#: was slow would get no request that shows that it has recovered.
_PRIOR_WEIGHT: Final = 1.0
#: Weight below which the events of an engine are removed; reached ten
#: half-lives after a single event.
_MIN_WEIGHT: Final = 0.001


@final
class _Delay:
    """The weighted sum of delays and the sum of their weights."""

    __slots__ = ('_delay_s', '_updated_at', 'weight')

    def __init__(self, now: float) -> None:
        """Start without events."""
        self.weight: float = 0
        self._delay_s: float = 0
        self._updated_at = now

    def add(self, seconds: float, now: float) -> None:
        """Add an event with a weight of 1."""
        self.decay(now)
        self.weight += 1
        self._delay_s += seconds

    def decay(self, now: float) -> None:
        """Reduce the weights by the time that has passed."""
        passed_s = max(0, now - self._updated_at)
        factor = 0.5 ** (passed_s / _HALF_LIFE_S)
        self.weight *= factor
        self._delay_s *= factor
        self._updated_at = now

    def estimate(self) -> float:
        """Return the weighted mean with the prior, in seconds."""
        return self._delay_s / (self.weight + _PRIOR_WEIGHT)


@final
class EngineDelays:
    """Delays of the most recent first events, by the engine that prefilled.

    A plan on one engine is not delayed by the errors on another.
    """

    __slots__ = ('_delays',)

    def __init__(self) -> None:
        """Start without engines."""
        self._delays: dict[str, _Delay] = {}

    def observe(self, engine: str, seconds: float, now: float) -> None:
        """Record by how much a first event was later than expected."""
        delay = self._delays.get(engine)
        if delay is None:
            delay = _Delay(now)
            self._delays[engine] = delay
        delay.add(seconds, now)

    def estimate(self, engine: str, now: float) -> float:
        """Return the expected delay at an engine in seconds, 0 if unknown."""
        delay = self._delays.get(engine)
        if delay is None:
            return 0
        delay.decay(now)
        return delay.estimate()

    def estimate_all(self, now: float) -> Mapping[str, float]:
        """Return the expected delays; removes engines that are not used."""
        for one in self._delays.values():
            one.decay(now)
        self._delays = {
            name: known
            for name, known in self._delays.items()
            if known.weight >= _MIN_WEIGHT
        }
        return {name: known.estimate() for name, known in self._delays.items()}
