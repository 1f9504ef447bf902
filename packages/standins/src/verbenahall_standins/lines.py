"""The bench's lines: measure, value, unit, baseline's value, ratio."""

import dataclasses
import sys
from typing import Final

_DIGITS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One measure beside what it is compared with in the same run."""

    measure: str
    value: float
    unit: str
    baseline: float

    def __str__(self) -> str:
        """Render as comma-separated text."""
        ratio = self.value / self.baseline if self.baseline else float('nan')
        numbers = (self.baseline, ratio)
        shown = [str(round(number, _DIGITS)) for number in numbers]
        value = str(round(self.value, _DIGITS))
        return ', '.join((self.measure, value, self.unit, *shown))


def say_line(line: Line) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
