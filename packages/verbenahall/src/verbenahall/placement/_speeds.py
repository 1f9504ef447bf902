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
_GUESS: Final = (0.05, 0.012, 0.0005)
#: A thousand tokens take this long at least, in seconds: a slope near zero
#: would send everything to one engine.
_LEAST_SLOPE: Final = 0.001
#: How far the guesses may be off, in the same units.
_DOUBT: Final = (0.02, 0.004, 0.0003)
#: One read's noise in seconds. Much of it is waits for reads that are not
#: known here; a few reads must not move the slopes far: with 0.02 s, slopes of
#: instances that had just started lay between a tenth and four times of what
#: the others had learned, and they refused callers for waits that were none.
_NOISE_S: Final = 0.05
_THOUSAND: Final = 1000.0
_MILLION: Final = 1_000_000.0
#: Samples that another instance must have more to be believed at once.
_ADOPTED: Final = 8
#: How much slower the fastest read is thought to be after each further one,
#: as a factor, so that engines that have turned slow are noticed.
_SLACKEN: Final = 1.002
#: Weight of what was learned before against one new read.
_KEEP: Final = 0.995
#: A read that took longer than expected has mostly waited for others that
#: this instance does not know of, so it counts for less.
_LATE_WEIGHT: Final = 0.15
#: First guess of one step of generation, and weight of one timed gap.
_STEP_S: Final = 0.006
_STEP_LEARNING: Final = 0.2
#: A step time that is older than this has faded half way to the guess.
_STEP_HALF_LIFE_S: Final = 2.0


@final
class ReadSpeed:
    """Learned cost of reading a prompt on an engine that only reads."""

    __slots__ = ('samples', '_slopes', '_spread', '_fastest_s')

    def __init__(self) -> None:
        """Start from the guesses."""
        self.samples = 0
        self._fastest_s = float('inf')
        self._slopes = list(_GUESS)
        self._spread = [
            [doubt * doubt * (row == column) for column in range(len(_DOUBT))]
            for row, doubt in enumerate(_DOUBT)
        ]

    @property
    def start_s(self) -> float:
        """What passes before the first token of any read."""
        return max(0, min(self._slopes[0], self._fastest_s))

    @property
    def token_s(self) -> float:
        """Engine time that one token takes."""
        return max(_LEAST_SLOPE, self._slopes[1]) / _THOUSAND

    def expect(self, missing: int, kept: int) -> float:
        """Return the engine time for ``missing`` tokens after ``kept``.

        The start is not part of it: other reads go on meanwhile.
        """
        for_pairs = count_pairs(missing, kept) * max(0, self._slopes[2])
        return missing * self.token_s + for_pairs

    def export(self) -> tuple[float, ...]:
        """Return the samples and the slopes, to tell other instances."""
        return (self.samples, self.start_s, *self._slopes[1:])

    def adopt(self, exported: Sequence[float]) -> None:
        """Take over what an instance with many more samples has learned."""
        samples, *slopes = exported
        known = len(slopes) == len(self._slopes)
        if not known or samples < _ADOPTED + 2 * self.samples:
            return
        # Half of its samples: two instances never adopt from each other in
        # turn.
        self.samples = int(samples / 2)
        self._slopes = list(slopes)
        self._fastest_s = slopes[0]
        for index, line in enumerate(self._spread):
            line[index] = (_DOUBT[index] / _ADOPTED) ** 2

    def learn(self, missing: int, kept: int, seconds: float) -> None:
        """Learn from a read that is thought to have waited for no other."""
        self.samples += 1
        # No read is faster than its start; waits cannot hide that.
        self._fastest_s = min(self._fastest_s * _SLACKEN, seconds)
        row = (1, missing / _THOUSAND, count_pairs(missing, kept))
        error = seconds - _dot(row, self._slopes)
        weight = _LATE_WEIGHT if error > 0 else 1
        gains = [_dot(line, row) for line in self._spread]
        scale = _NOISE_S * _NOISE_S / weight + _dot(row, gains)
        for index, gain in enumerate(gains):
            self._slopes[index] += gain / scale * error
            self._spread[index] = [
                _shrink(spread, gain * other / scale)
                for spread, other in zip(
                    self._spread[index],
                    gains,
                    strict=True,
                )
            ]


@final
class RecentTime:
    """A short time, as that of a step of generation, by what was last seen."""

    __slots__ = ('_guess_s', '_seconds', '_noted_at')

    def __init__(self, guess_s: float = _STEP_S) -> None:
        """Start from the guess."""
        self._guess_s = guess_s
        self._seconds = guess_s
        self._noted_at = -float('inf')

    def note(self, seconds: float, now: float) -> None:
        """Learn from one time that was seen."""
        current = self.read(now)
        self._seconds = current + _STEP_LEARNING * (seconds - current)
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the expected time."""
        age = now - self._noted_at
        fade = 0.5 ** (age / _STEP_HALF_LIFE_S)
        return self._guess_s + (self._seconds - self._guess_s) * fade


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(map(operator.mul, left, right))


def _shrink(spread: float, learned: float) -> float:
    return (spread - learned) / _KEEP


def count_pairs(missing: int, kept: int) -> float:
    """Return the millions of token pairs that a read looks at."""
    return missing * (kept + missing / 2) / _MILLION
