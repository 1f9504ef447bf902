"""Holders of duties, usage windows and scaling orders, from logs."""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Final, final

from verbenactl._explanations import LogLine
from verbenactl._losses import Table

_HOLDER_EVENTS: Final = frozenset(('duty_held', 'duty_lost'))


def find_duties(lines: Iterable[LogLine]) -> Sequence[Table]:
    """Return tables of duty holders, usage windows and engine orders."""
    kept = sorted(lines, key=lambda line: line.at)
    return (
        Table(
            'holders',
            ('at', 'duty', 'instance', 'event', 'reason'),
            list(_list_holders(kept)),
        ),
        Table(
            'usage',
            ('window', 'requests', 'workspaces', 'missing', 'reported'),
            list(_list_windows(kept)),
        ),
        Table(
            'engines',
            ('at', 'instance', 'token', 'order', 'outcome'),
            list(_list_orders(kept)),
        ),
    )


def _list_holders(lines: Iterable[LogLine]) -> Iterator[tuple[str, ...]]:
    for line in lines:
        decision = line.decision
        if decision['event'] in _HOLDER_EVENTS:
            yield (
                f'{line.at:.3f}',
                str(decision.get('duty', '')),
                line.source,
                str(decision['event']),
                str(decision.get('reason', '')),
            )


@final
class _Window:
    """Summary of the lines on one usage window."""

    __slots__ = ('decided', 'missing', 'outcomes')

    def __init__(self) -> None:
        self.decided: Mapping[str, Any] = {}
        self.missing = ''
        self.outcomes: collections.Counter[str] = collections.Counter()

    def add(self, decision: Mapping[str, Any]) -> None:
        """Add one line."""
        match decision:
            case {'event': 'usage_decided'}:
                self.decided = decision
            case {'event': 'usage_partial', 'missing': names}:
                self.missing = ' '.join(names)
            case {'event': 'usage_sent', 'outcome': outcome}:
                self.outcomes[outcome] += 1
            case {'event': 'usage_missed'}:
                self.outcomes['missed'] += 1
            case _:
                pass

    def describe(self) -> tuple[str, ...]:
        """Return the cells of the row after the window's number."""
        return (
            str(self.decided.get('requests', '')),
            str(self.decided.get('workspaces', '')),
            self.missing,
            ' '.join(
                f'{status} {count}' for status, count in self.outcomes.items()
            ),
        )


def _list_windows(lines: Iterable[LogLine]) -> Iterator[tuple[str, ...]]:
    windows = collections.defaultdict(_Window)
    for line in lines:
        if line.decision['event'].startswith('usage_'):
            windows[line.decision.get('window')].add(line.decision)
    for number in sorted(window for window in windows if window is not None):
        yield (str(number), *windows[number].describe())


def _list_orders(lines: Iterable[LogLine]) -> Iterator[tuple[str, ...]]:
    for line in lines:
        decision = line.decision
        if decision['event'] == 'scale_order':
            wanted = (
                decision.get('service', ''),
                decision.get('data_centre', ''),
                decision.get('kind', ''),
                decision.get('engines', ''),
            )
            yield (
                f'{line.at:.3f}',
                line.source,
                str(decision.get('token', '')),
                ' '.join(map(str, wanted)),
                str(decision.get('outcome', '')),
            )
