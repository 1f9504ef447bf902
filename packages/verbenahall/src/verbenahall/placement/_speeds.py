"""How fast engines read and generate, learned from timed sends.

Reading has a start that every prompt waits for, takes time for each token
and, since each token attends to all before it, for each pair of tokens. The
three are learned by recursive least squares that forget.
"""

import operator
from collections.abc import Sequence
from typing import Final, final

#: First guesses, until reads were timed: seconds before the first token, for
#: a thousand tokens, and for a million pairs of tokens. The first is that of
#: no waiting at all, so that an early error rather spreads work.
_INITIAL_COEFFICIENTS: Final = (0.05, 0.012, 0.0005)
#: A thousand tokens take this long at least, in seconds: a slope near zero
#: would send everything to one engine.
_MIN_THOUSAND_S: Final = 0.001
#: How far the guesses may be off, in the same units.
_INITIAL_DEVIATIONS: Final = (0.02, 0.004, 0.0003)
#: One read's noise in seconds. Much of it is waits for reads that are not
#: known here; a few reads must not move the slopes far: with 0.02 s, slopes of
#: instances that had just started lay between a tenth and four times of what
#: the others had learned, and they refused callers for waits that were none.
_NOISE_S: Final = 0.05
_THOUSAND: Final = 1000.0
_MILLION: Final = 1_000_000.0
#: Samples that another instance must have more to be believed at once.
_ADOPTION_SAMPLES: Final = 8
#: How much slower the fastest read is thought to be after each further one,
#: as a factor, so that engines that have turned slow are noticed.
_FASTEST_GROWTH: Final = 1.002
#: Weight of what was learned before against one new read.
_FORGETTING_FACTOR: Final = 0.995
#: A read that took longer than expected has mostly waited for others that
#: this instance does not know of, so it counts for less.
_DELAYED_WEIGHT: Final = 0.15
#: First guess of one step of generation, and weight of one timed gap.
_STEP_S: Final = 0.006
_STEP_SMOOTHING: Final = 0.2
#: A step time that is older than this has faded half way to the guess.
_STEP_HALF_LIFE_S: Final = 2.0


@final
class PrefillSpeed:
    """Learned cost of reading a prompt on an engine that only reads."""

    __slots__ = ('samples', '_coefficients', '_covariance', '_fastest_s')

    def __init__(self) -> None:
        """Start from the guesses."""
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
        """What passes before the first token of any read."""
        return max(0, min(self._coefficients[0], self._fastest_s))

    @property
    def token_s(self) -> float:
        """Engine time that one token takes."""
        return max(_MIN_THOUSAND_S, self._coefficients[1]) / _THOUSAND

    def predict_s(self, missing: int, cached: int) -> float:
        """Return the engine time for ``missing`` tokens after ``cached``.

        The start is not part of it: other reads go on meanwhile.
        """
        pairs_s = count_pairs(missing, cached) * max(0, self._coefficients[2])
        return missing * self.token_s + pairs_s

    def export(self) -> tuple[float, ...]:
        """Return the samples and the slopes, to tell other instances."""
        return (self.samples, self.start_s, *self._coefficients[1:])

    def adopt(self, exported: Sequence[float]) -> None:
        """Take over what an instance with many more samples has learned."""
        samples, *coefficients = exported
        compatible = len(coefficients) == len(self._coefficients)
        if not compatible or samples < _ADOPTION_SAMPLES + 2 * self.samples:
            return
        # Half of its samples: two instances never adopt from each other in
        # turn.
        self.samples = int(samples / 2)
        self._coefficients = list(coefficients)
        self._fastest_s = coefficients[0]
        for index, covariance_row in enumerate(self._covariance):
            covariance_row[index] = (
                _INITIAL_DEVIATIONS[index] / _ADOPTION_SAMPLES
            ) ** 2

    def learn(self, missing: int, cached: int, seconds: float) -> None:
        """Learn from a read that is thought to have waited for no other."""
        self.samples += 1
        # No read is faster than its start; waits cannot hide that.
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
    """A short time, as that of a step of generation, by what was last seen."""

    __slots__ = ('_initial_s', '_mean_s', '_observed_at')

    def __init__(self, initial_s: float = _STEP_S) -> None:
        """Start from the guess."""
        self._initial_s = initial_s
        self._mean_s = initial_s
        self._observed_at = -float('inf')

    def note(self, seconds: float, now: float) -> None:
        """Learn from one time that was seen."""
        current = self.read(now)
        self._mean_s = current + _STEP_SMOOTHING * (seconds - current)
        self._observed_at = now

    def read(self, now: float) -> float:
        """Return the expected time."""
        age = now - self._observed_at
        decay = 0.5 ** (age / _STEP_HALF_LIFE_S)
        return self._initial_s + (self._mean_s - self._initial_s) * decay


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(map(operator.mul, left, right))


def _discount(covariance: float, explained: float) -> float:
    return (covariance - explained) / _FORGETTING_FACTOR


def count_pairs(missing: int, cached: int) -> float:
    """Return the millions of token pairs that a read looks at."""
    return missing * (cached + missing / 2) / _MILLION
