"""Recent failures of engines, as a cost of placing requests on them.

An engine that fails its requests has little open work, so it looks idle. By its
load alone it would get each next request.
"""

from collections.abc import Collection, Sequence
from typing import Final, final

from verbenahall.roster import Entry

#: Weight of one outcome in the moving average of failures.
_OUTCOME_WEIGHT: Final = 0.2
#: Time without outcomes in which the failure rate halves, in seconds. An engine
#: that has recovered gets requests again after some of these.
_HALF_LIFE_S: Final = 5.0
#: Failure rate from which on an engine is used only if most others fail, too.
#: No load of a working engine is worse for a caller than one that fails.
_FAILING_RATE: Final = 0.5
#: Largest share of the engines that are left out as failing. If more fail, the
#: cause is probably an overload or the network.
_MAX_FAILING_SHARE: Final = 0.5
#: Failure rate below which failures are forgotten.
_FORGOTTEN_RATE: Final = 0.01
#: Time that a caller loses by a failed attempt, in seconds: an unresponsive
#: engine is given up after one to two seconds.
_LOST_S: Final = 1.5


@final
class FailureRates:
    """The moving average of failures of each engine, between 0 and 1."""

    __slots__ = ('_rates',)

    def __init__(self) -> None:
        """Start without failures."""
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, engine: str, now: float, *, failed: bool) -> None:
        """Record the outcome of a request at an engine."""
        if not failed and engine not in self._rates:
            return
        rate = self.estimate(engine, now)
        rate += _OUTCOME_WEIGHT * (failed - rate)
        self._rates[engine] = (rate, now)

    def estimate(self, engine: str, now: float) -> float:
        """Return the failure rate, which decays while nothing is recorded."""
        rate, recorded_at = self._rates.get(engine, (0, now))
        rate *= 0.5 ** ((now - recorded_at) / _HALF_LIFE_S)
        return rate if rate > _FORGOTTEN_RATE else 0

    def estimate_lost_s(self, engine: str, now: float) -> float:
        """Return the time that a request is expected to lose at an engine."""
        if engine not in self._rates:
            return 0
        return self.estimate(engine, now) * _LOST_S

    def select_working(
        self, engines: Sequence[Entry], now: float
    ) -> Sequence[Entry]:
        """Return the engines without failing ones, all if too many fail."""
        if not self._rates:
            return engines
        working = [
            one
            for one in engines
            if self.estimate(one.name, now) < _FAILING_RATE
        ]
        failing_count = len(engines) - len(working)
        if failing_count > len(engines) * _MAX_FAILING_SHARE:
            return engines
        return working

    def clear(self, engine: str) -> None:
        """Forget the failures of an engine."""
        self._rates.pop(engine, None)

    def retain(self, names: Collection[str]) -> None:
        """Remove the engines that are no longer listed."""
        for name in self._rates.keys() - names:
            self._rates.pop(name)
