"""Command line: ``python -m verbenahall_standins.explorer RECORDS``.

``RECORDS`` is the maximum number of log records, 3 by default; a run with 4
takes minutes. Prints a line for each variant and kind of engine: the variant,
whether the engine checks or ignores fencing tokens, the number of states, and
the violation that was found.
"""

import sys
from typing import Final

from verbenahall_standins.explorer import (
    NO_COMPARE_AND_SET,
    NO_LEASE_CHECK,
    NO_READ_BACK,
    PRODUCTION,
    Bounds,
    Rules,
    explore,
    make_initial_state,
)

_DEFAULT_RECORDS: Final = 3


def main() -> None:
    """Explore each variant with each kind of engine and print the results."""
    record_counts = [int(argument) for argument in sys.argv[1:]]
    records = max(record_counts, default=_DEFAULT_RECORDS)
    variants = (PRODUCTION, NO_LEASE_CHECK, NO_READ_BACK, NO_COMPARE_AND_SET)
    for rules in variants:
        for kind in ('checks', 'ignores'):
            _print_row(rules, kind, Bounds(records))


def _print_row(rules: Rules, kind: str, bounds: Bounds) -> None:
    state = make_initial_state(checks=kind == 'checks')
    report = explore(state, bounds, rules)
    found = report.violation or 'no violation'
    line = ' | '.join((rules.name, kind, str(report.states), found))
    sys.stdout.write(f'{line}\n')


main()
