"""Measured points, and the slope between the first and the last of them."""

import dataclasses
import sys
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    size: int
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """A measure with its unit; ``per`` names what the size counts."""

    measure: str
    per: str
    points: Sequence[Point]

    @property
    def slope(self) -> float:
        """The growth of the value with one more of the size."""
        first, last = self.points[0], self.points[-1]
        return (last.value - first.value) / (last.size - first.size)


def tell(series: Series) -> None:
    """Print the points and the slope of a measure, one line each."""
    measure, per = series.measure, series.per
    for point in series.points:
        _say(measure, f'{point.size} {per}', point.value)
    _say(measure, f'slope over {per}', series.slope)


def _say(measure: str, at: str, value: float) -> None:
    shown = format(value, '.4g')
    sys.stdout.write(f'{measure}, {at}, {shown}\n')
    sys.stdout.flush()
