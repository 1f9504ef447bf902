"""``python -m verbenahall_standins.explorer RECORDS``: counts the states.

Prints a line for each variant and kind of engine: whether the engine checks
fencing tokens, the count of states, and what was found. Four records
take minutes.
"""

import sys
from typing import Final

from verbenahall_standins.explorer import (
    BLIND_FOLD,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Bounds,
    Rules,
    explore,
    start_world,
)

_DEFAULT_RECORDS: Final = 3


def main() -> None:
    """Explore and print the counts."""
    given = [int(word) for word in sys.argv[1:]]
    records = max(given, default=_DEFAULT_RECORDS)
    variants = (PRODUCTION, NO_LEASE_CHECK, NO_READ_BACK, BLIND_FOLD)
    for rules in variants:
        for kind in ('checks', 'ignores'):
            _print_row(rules, kind, Bounds(records))


def _print_row(rules: Rules, kind: str, bounds: Bounds) -> None:
    world = start_world(checks=kind == 'checks')
    report = explore(world, bounds, rules)
    found = report.violation or 'no violation'
    line = ' | '.join((rules.name, kind, str(report.states), found))
    sys.stdout.write(f'{line}\n')


main()
