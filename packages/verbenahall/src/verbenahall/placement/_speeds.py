"""Estimates of the prefill and decode speed of engines.

A prefill has a fixed start time, a time for each token and, since each token
attends to all before it, a time for each pair of tokens. The three
coefficients are estimated by recursive least squares with a forgetting factor.
"""

import operator
from collections.abc import Collection, Sequence
from typing import Final, final

#: Initial coefficients: seconds before the first token, for a thousand tokens,
#: and for a million pairs of tokens. The first one is the time without any
#: wait, so that an early error spreads the load rather than concentrating it.
_INITIAL_COEFFICIENTS: Final = (0.05, 0.012, 0.0005)
#: Minimum time for a thousand tokens, in seconds. With a value near zero,
#: every prompt would be sent to one engine.
_MIN_THOUSAND_S: Final = 0.001
#: Standard deviations of the initial coefficients, in the same units.
_INITIAL_DEVIATIONS: Final = (0.02, 0.004, 0.0003)
#: Standard deviation of one measured prefill, in seconds. Most of it is
#: waiting for prefills of other instances, and a few samples must not move the
#: coefficients far: with 0.02 s, instances that had just started estimated
#: between a tenth and four times of what the others did, and refused callers
#: for waits that did not exist.
_NOISE_S: Final = 0.05
_THOUSAND: Final = 1000.0
_MILLION: Final = 1_000_000.0
#: The estimate of another instance is adopted if it has at least this many
#: samples more than twice the local number.
_ADOPTION_SAMPLES: Final = 8
#: Factor by which the shortest measured prefill grows with each sample, so
#: that engines that have become slower are noticed.
_FASTEST_GROWTH: Final = 1.002
#: Weight of the earlier samples relative to a new one.
_FORGETTING_FACTOR: Final = 0.995
#: Weight of a prefill that took longer than expected. It has mostly waited for
#: prefills that this instance is not aware of.
_DELAYED_WEIGHT: Final = 0.15
#: Initial decode step time in seconds, and weight of one new sample.
_STEP_S: Final = 0.006
_STEP_SMOOTHING: Final = 0.2
#: Weight of one stream in the time of a token.
_TOKEN_SMOOTHING: Final = 0.1
#: Half-life of the decay of the step time to its initial value, in seconds.
_STEP_HALF_LIFE_S: Final = 2.0


@final
class PrefillSpeed:
    """Estimated time to prefill a prompt on a prefill engine."""

    __slots__ = ('samples', '_coefficients', '_covariance', '_fastest_s')

    def __init__(self) -> None:
        """Start with the initial coefficients."""
        self.samples = 0
        self._fastest_s = float('inf')
        self._coefficients = list(_INITIAL_COEFFICIENTS)
        self._covariance = [
            [
                deviation * deviation * (row == column)
                for column in range(len(_INITIAL_DEVIATIONS))
            ]
            for row, deviation in enumerate(_INITIAL_DEVIATIONS)
        ]

    @property
    def start_s(self) -> float:
        """Seconds before the first token of any prefill."""
        return max(0, min(self._coefficients[0], self._fastest_s))

    @property
    def token_s(self) -> float:
        """Engine time of one token, in seconds."""
        return max(_MIN_THOUSAND_S, self._coefficients[1]) / _THOUSAND

    def predict_s(self, missing: int, cached: int) -> float:
        """Return the engine time to prefill ``missing`` tokens, in seconds.

        ``cached`` tokens precede them. The start time is not included, as
        other prefills run during it.
        """
        pairs_s = count_pairs(missing, cached) * max(0, self._coefficients[2])
        return missing * self.token_s + pairs_s

    def export(self) -> tuple[float, ...]:
        """Return the sample count and the coefficients, to send to peers."""
        return (self.samples, self.start_s, *self._coefficients[1:])

    def adopt(self, exported: Sequence[float]) -> None:
        """Adopt the coefficients of an instance with many more samples."""
        samples, *coefficients = exported
        compatible = len(coefficients) == len(self._coefficients)
        if not compatible or samples < _ADOPTION_SAMPLES + 2 * self.samples:
            return
        # Counts half of the samples, so that two instances never adopt from
        # each other in turn.
        self.samples = int(samples / 2)
        self._coefficients = list(coefficients)
        self._fastest_s = coefficients[0]
        for index, covariance_row in enumerate(self._covariance):
            covariance_row[index] = (
                _INITIAL_DEVIATIONS[index] / _ADOPTION_SAMPLES
            ) ** 2

    def update(self, missing: int, cached: int, seconds: float) -> None:
        """Update the estimate with a prefill that is not known to have waited.

        It took ``seconds`` for ``missing`` tokens after ``cached`` ones.
        """
        self.samples += 1
        # The start time is at most the shortest measured prefill, since waits
        # for other prefills only add to a measurement.
        self._fastest_s = min(self._fastest_s * _FASTEST_GROWTH, seconds)
        features = (1, missing / _THOUSAND, count_pairs(missing, cached))
        residual = seconds - _dot(features, self._coefficients)
        weight = _DELAYED_WEIGHT if residual > 0 else 1
        gains = [
            _dot(covariance_row, features)
            for covariance_row in self._covariance
        ]
        innovation = _NOISE_S * _NOISE_S / weight + _dot(features, gains)
        for index, gain in enumerate(gains):
            self._coefficients[index] += gain / innovation * residual
            self._covariance[index] = [
                _discount(covariance, gain * other / innovation)
                for covariance, other in zip(
                    self._covariance[index],
                    gains,
                    strict=True,
                )
            ]


@final
class DecayingAverage:
    """Exponentially weighted mean of a duration, in seconds.

    It decays to its initial value while no sample is recorded.
    """

    __slots__ = ('_initial_s', '_mean_s', '_observed_at')

    def __init__(self, initial_s: float = _STEP_S) -> None:
        """Start with the initial value."""
        self._initial_s = initial_s
        self._mean_s = initial_s
        self._observed_at = -float('inf')

    def observe(self, seconds: float, now: float) -> None:
        """Record one duration."""
        current = self.estimate(now)
        self._mean_s = current + _STEP_SMOOTHING * (seconds - current)
        self._observed_at = now

    def estimate(self, now: float, factor: float = 1) -> float:
        """Return the expected duration in seconds.

        ``factor`` is that of the engine on the initial value.
        """
        age = now - self._observed_at
        decay = 0.5 ** (age / _STEP_HALF_LIFE_S)
        initial_s = self._initial_s * factor
        return initial_s + (self._mean_s - initial_s) * decay


@final
class TokenTimes:
    """The time of a token in the streams of each engine, in seconds.

    Unlike a ``DecayingAverage`` it does not forget: an engine whose slots are
    held by long streams shows no new times.
    """

    __slots__ = ('typical_s', '_times')

    def __init__(self) -> None:
        """Start with the initial decode step time."""
        self._times: dict[str, float] = {}
        self.typical_s = _STEP_S

    def record(self, engine: str, seconds: float) -> None:
        """Record the time of a token in a stream that has ended."""
        before_s = self.typical_s if self._times else seconds
        self.typical_s = _smooth(before_s, seconds)
        self._times[engine] = _smooth(self._times.get(engine, seconds), seconds)

    def estimate(self, engine: str, factor: float = 1) -> float:
        """Return the time at an engine.

        If it is unknown, it is that of the others times ``factor``.
        """
        return self._times.get(engine, self.typical_s * factor)

    def retain(self, names: Collection[str]) -> None:
        """Remove the engines that are no longer listed."""
        for name in self._times.keys() - names:
            self._times.pop(name)


def _smooth(mean: float, sample: float) -> float:
    return mean + _TOKEN_SMOOTHING * (sample - mean)


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(map(operator.mul, left, right))


def _discount(covariance: float, explained: float) -> float:
    return (covariance - explained) / _FORGETTING_FACTOR


def count_pairs(missing: int, cached: int) -> float:
    """Return the token pairs that a prefill attends to, in millions."""
    return missing * (cached + missing / 2) / _MILLION
