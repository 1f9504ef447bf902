"""Why first events came late, and who called the store, told from logs.

A late first event has one largest cause: its caller had tried before, it
waited for its turn, an attempt failed, the prefill or the handover took longer
than expected, or its prompt was too long for the objective from the start.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from verbenactl._explanations import LogLine

_THOUSAND: Final = 1000


@final
class DelayBreakdown:
    """Where the time until one request's first event went, in seconds.

    ``expected_s`` is what it was to take by the plan, ``spent`` holds what
    went beyond that, by cause.
    """

    __slots__ = ('expected_s', 'spent', '_placed_at')

    def __init__(self, waited_s: float) -> None:
        """Start with what the caller has waited in earlier attempts."""
        self.expected_s: float = 0
        self.spent: collections.Counter[str] = collections.Counter()
        self.spent['tried before'] = waited_s
        self._placed_at: float | None = None

    def add(self, decision: Mapping[str, Any], at: float) -> None:
        """Take a line of the request."""
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
        """Return the largest cause."""
        causes = collections.Counter(self.spent)
        causes['expected from the start'] = self.expected_s
        return causes.most_common(1)[0][0]


def count_store_calls(lines: Iterable[LogLine]) -> Sequence[tuple[str, ...]]:
    """Return calls and kilobytes by call, topic and outcome, most first."""
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
