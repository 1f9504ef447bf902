"""Command line of the capacity measurements."""

import argparse
from types import MappingProxyType
from typing import Final

from verbenahall_standins.capacity._fleet import measure_fleet
from verbenahall_standins.capacity._folds import measure_folds
from verbenahall_standins.capacity._report import print_series
from verbenahall_standins.capacity._rest import measure_idle

_MEASUREMENTS: Final = MappingProxyType(
    {
        'fleet': measure_fleet,
        'folds': measure_folds,
        'rest': measure_idle,
    },
)


def main() -> None:
    """Run the named measurement and print each series."""
    parser = argparse.ArgumentParser(
        description='Measure how cost grows with size'
    )
    parser.add_argument('measurement', choices=tuple(_MEASUREMENTS))
    options = parser.parse_args()
    for series in _MEASUREMENTS[options.measurement]():
        print_series(series)


if __name__ == '__main__':
    main()
