"""Compares policies, and measures the overhead of an instance.

``python -m verbenahall_standins.bench --seed N`` prints one line for
each measure: its name, value, unit, baseline value and ratio. Policies run on
the traces of the seed and of two further seeds that are only reported; sizes
of a service on fixed load patterns.
"""

import argparse
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final

from verbenahall_standins import (
    comparison,
    overflow_replay,
    plots,
    shared_queue,
)
from verbenahall_standins.lines import print_line
from verbenahall_standins.overhead import measure_overhead
from verbenahall_standins.sizing import compare_sizes

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


def compare_overhead(seed: int) -> None:
    """Print the overhead of an instance; it depends on no seed."""
    for line in measure_overhead():
        print_line(line)


def compare_overflow(seed: int) -> None:
    """Print the share of late prompts at two groups of engines."""
    for line in overflow_replay.build_lines(seed):
        print_line(line)


def compare_shares(seed: int) -> None:
    """Print how workspaces and callers share engines."""
    for line in shared_queue.build_lines(seed):
        print_line(line)


def compare_sizing(seed: int) -> None:
    """Print what the engines cost, and how prompts are served by them."""
    for line in compare_sizes(seed):
        print_line(line)


_Measure = Callable[[int], None]
_MEASURES: Final[Mapping[str, _Measure]] = MappingProxyType(
    {
        'overhead': compare_overhead,
        'overflow': compare_overflow,
        'policies': compare_policies,
        'shares': compare_shares,
        'sizing': compare_sizing,
    },
)


def main() -> None:
    """Parse the command line and print the measures."""
    parser = argparse.ArgumentParser(description='Measures of one run')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=tuple(_MEASURES))
    options = parser.parse_args()
    for name, measure in _MEASURES.items():
        if options.only in {None, name}:
            measure(options.seed)


if __name__ == '__main__':
    main()
