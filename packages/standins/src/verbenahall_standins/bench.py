"""Compares routing policies and measures the overhead of an instance.

``python -m verbenahall_standins.bench --seed N`` prints one line for
each measure: its name, value, unit, baseline value and ratio. Policies run on
the traces of the seed and of two further seeds that are only reported.
"""

import argparse
from pathlib import Path
from typing import Final

from verbenahall_standins import comparison, plots, shared_queue
from verbenahall_standins.lines import print_line
from verbenahall_standins.overhead import measure_overhead

#: Offsets of the seeds whose traces are only reported: no policy is tuned on
#: them.
_SEED_OFFSETS: Final = (100, 101)
_REPORT_FOLDER: Final = Path('reports')


def compare_policies(seed: int) -> None:
    """Print the figures of all policies, and plot the traces of ``seed``."""
    runs = list(comparison.compare(seed))
    plots.draw_report(runs, _REPORT_FOLDER / f'policies-{seed}.svg')
    for offset in _SEED_OFFSETS:
        runs.extend(comparison.compare(seed + offset))
    for line in comparison.build_lines(runs):
        print_line(line)


def main() -> None:
    """Parse the command line and print the measures."""
    parser = argparse.ArgumentParser(description='Measures of one run')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=('overhead', 'policies', 'shares'))
    options = parser.parse_args()
    if options.only in {None, 'overhead'}:
        for line in measure_overhead():
            print_line(line)
    if options.only in {None, 'policies'}:
        compare_policies(options.seed)
    if options.only in {None, 'shares'}:
        for measure in shared_queue.build_lines(options.seed):
            print_line(measure)


if __name__ == '__main__':
    main()
