"""Measured points and the slope from the first to the last."""

import dataclasses
import sys
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The value measured at one size."""

    size: int
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Values of a measure by size.

    The name ``measure`` includes the unit; ``per`` names the things that the
    size counts.
    """

    measure: str
    per: str
    points: Sequence[Point]

    @property
    def slope(self) -> float:
        """The mean growth of the value when the size grows by one."""
        first, last = self.points[0], self.points[-1]
        return (last.value - first.value) / (last.size - first.size)


def print_series(series: Series) -> None:
    """Print a line for each point and one for the slope."""
    measure, per = series.measure, series.per
    for point in series.points:
        _print_line(measure, f'{point.size} {per}', point.value)
    _print_line(measure, f'slope over {per}', series.slope)


def _print_line(measure: str, at: str, value: float) -> None:
    formatted = format(value, '.4g')
    sys.stdout.write(f'{measure}, {at}, {formatted}\n')
    sys.stdout.flush()
