"""Command line of the slopes."""

import argparse
from types import MappingProxyType
from typing import Final

from verbenahall_standins.capacity._fleet import measure_fleet
from verbenahall_standins.capacity._folds import measure_folds
from verbenahall_standins.capacity._report import tell
from verbenahall_standins.capacity._rest import measure_rest

_MEASUREMENTS: Final = MappingProxyType(
    {
        'fleet': measure_fleet,
        'folds': measure_folds,
        'rest': measure_rest,
    },
)


def main() -> None:
    """Measure what is named and print each series."""
    parser = argparse.ArgumentParser(description='Measure slopes')
    parser.add_argument('measurement', choices=tuple(_MEASUREMENTS))
    options = parser.parse_args()
    for series in _MEASUREMENTS[options.measurement]():
        tell(series)


if __name__ == '__main__':
    main()
