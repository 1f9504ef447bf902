"""The bench: ``python -m verbenahall_standins.bench --seed N``.

Each line reads: measure, value, unit, baseline's value, ratio. Policies run
on the trace of the seed and on two further seeds that are for reporting only.
"""

import argparse
from pathlib import Path
from typing import Final

from verbenahall_standins import comparison, plots
from verbenahall_standins.lines import say_line
from verbenahall_standins.overhead import measure_overhead

#: Added to the seed for the traces on which nothing is ever tuned.
_REPORTING: Final = (100, 101)
_REPORT: Final = Path('reports')


def compare_policies(seed: int) -> None:
    """Print every figure of every policy, and draw the seed's own trace."""
    runs = list(comparison.compare(seed))
    plots.draw_report(runs, _REPORT / f'policies-{seed}.svg')
    for added in _REPORTING:
        runs.extend(comparison.compare(seed + added))
    for line in comparison.write_lines(runs):
        say_line(line)


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description='Measures of one run')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=('overhead', 'policies'))
    options = parser.parse_args()
    if options.only != 'policies':
        for line in measure_overhead():
            say_line(line)
    if options.only != 'overhead':
        compare_policies(options.seed)


if __name__ == '__main__':
    main()
