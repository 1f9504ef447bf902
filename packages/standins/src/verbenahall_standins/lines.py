"""Result lines: measure, value, unit, baseline value and ratio."""

import dataclasses
import sys
from typing import Final

_DIGITS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One measured value with the baseline value from the same run."""

    measure: str
    value: float
    unit: str
    baseline: float

    def __str__(self) -> str:
        """Format as comma-separated text; the ratio is to the baseline."""
        ratio = self.value / self.baseline if self.baseline else float('nan')
        numbers = (self.baseline, ratio)
        shown = [str(round(number, _DIGITS)) for number in numbers]
        value = str(round(self.value, _DIGITS))
        return ', '.join((self.measure, value, self.unit, *shown))


def print_line(line: Line) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
