"""The bench: ``python -m verbenahall_standins.bench --seed N``.

Each line reads: measure, value, unit, baseline's value, ratio.
"""

import argparse

from verbenahall_standins.lines import say_line
from verbenahall_standins.overhead import measure_overhead


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description='Measures of one run')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=('overhead', 'policies'))
    options = parser.parse_args()
    if options.only != 'policies':
        for line in measure_overhead():
            say_line(line)


if __name__ == '__main__':
    main()
