"""Causes of late first events, and counts of store calls, from logs.

A first event after its objective is attributed to the largest of these delays:
earlier attempts of the caller, the wait in the queue, a failed attempt, a
prefill or a handover that took longer than expected, or a time expected from
the start that exceeded the objective, as for a long prompt.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from verbenactl._explanations import LogLine

#: Bytes in a kilobyte of the tables.
_THOUSAND: Final = 1000


@final
class DelayBreakdown:
    """The time until the first event of a request, by cause, in seconds.

    ``expected_s`` is the time that its placement expected, ``spent`` the time
    beyond that by cause.
    """

    __slots__ = ('expected_s', 'spent', '_placed_at')

    def __init__(self, waited_s: float) -> None:
        """Start with the time that the caller spent in earlier attempts."""
        self.expected_s: float = 0
        self.spent: collections.Counter[str] = collections.Counter()
        self.spent['tried before'] = waited_s
        self._placed_at: float | None = None

    def add(self, decision: Mapping[str, Any], at: float) -> None:
        """Add a line of the request."""
        match decision:
            case {'event': 'scheduled', 'waited_s': waited_s}:
                self.spent['waited for its turn'] += float(waited_s)
            case {'event': 'placed', 'wait_s': wait_s}:
                self.expected_s = float(wait_s)
                self._placed_at = at
            case {'event': 'attempt_failed'} if self._placed_at is not None:
                self.spent['a failed attempt'] += at - self._placed_at
            case {'event': 'read', 'took_s': took_s}:
                excess_s = float(took_s) - self.expected_s
                self.spent['prefill longer than expected'] += max(0, excess_s)
            case {'event': 'generated', 'first_s': first_s}:
                self.spent['handover and first step'] += float(first_s)
            case _:
                pass

    def get_largest_cause(self) -> str:
        """Return the cause with the longest time."""
        causes = collections.Counter(self.spent)
        causes['expected from the start'] = self.expected_s
        return causes.most_common(1)[0][0]


def count_store_calls(lines: Iterable[LogLine]) -> Sequence[tuple[str, ...]]:
    """Return rows of store calls by call, topic and outcome, most first.

    The last cells are the numbers of calls and instances, and kilobytes.
    """
    calls: collections.Counter[tuple[str, str, str]] = collections.Counter()
    received: collections.Counter[tuple[str, str, str]] = collections.Counter()
    callers = collections.defaultdict(set)
    for line in lines:
        decision = line.decision
        if decision['event'] != 'store_call':
            continue
        key = (decision['call'], decision['topic'], decision['outcome'])
        calls[key] += 1
        received[key] += int(decision['received'])
        callers[key].add(line.source)
    return [
        (
            *key,
            str(count),
            str(len(callers[key])),
            _format_kilobytes(received[key]),
        )
        for key, count in calls.most_common()
    ]


def _format_kilobytes(size: int) -> str:
    return str(size // _THOUSAND)
