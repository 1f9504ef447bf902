"""Counts of all instances, gathered by the instance that reports them."""

import collections
import dataclasses
from collections.abc import Collection, Iterator, Mapping
from typing import final

from verbenahall.usage._messages import UsageAnswer
from verbenahall.usage._meter import Counts


#: The counts of one run, by window.
_Run = dict[int, collections.Counter[str]]


@dataclasses.dataclass(slots=True)
class _ReceivedParts:
    """Parts received of an instance's answer to one poll."""

    number: int
    parts: set[int]


@final
class GatheredCounts:
    """Counts by run of an instance; they never decrease.

    ``answered_at`` is when an instance's last complete answer was received,
    in seconds since 1970, and ``leads`` holds the lead of its clock over the
    local one, in seconds.
    """

    __slots__ = ('answered_at', 'counts', 'leads', '_answers')

    def __init__(self) -> None:
        """Start without counts."""
        self.counts: dict[str, _Run] = {}
        self.answered_at: dict[str, float] = {}
        self.leads: dict[str, float] = {}
        self._answers: dict[str, _ReceivedParts] = {}

    def add_answer(
        self, answer: UsageAnswer, now: float, lead_s: float
    ) -> None:
        """Add a part of an answer; a repeated or late one has no effect."""
        self.merge(answer.run, answer.counts)
        received = self._answers.get(answer.instance)
        if received is None or received.number < answer.number:
            received = _ReceivedParts(answer.number, set())
            self._answers[answer.instance] = received
        if received.number != answer.number:
            return
        received.parts.add(answer.part)
        self.leads[answer.instance] = lead_s
        if len(received.parts) == answer.parts:
            self.answered_at[answer.instance] = now

    def merge(self, run: str, counts: Mapping[int, Counts]) -> None:
        """Merge counts of a run; the larger of two counts is kept."""
        known = self.counts.setdefault(run, {})
        for window, rows in counts.items():
            # The union of counters keeps the maximum of each count.
            known[window] = known.get(window, collections.Counter()) | (
                collections.Counter(rows)
            )

    def list_unanswered(
        self,
        instances: Collection[str],
        since: float,
    ) -> Iterator[str]:
        """Yield the instances without a complete answer since a time."""
        for name in instances:
            if self.answered_at.get(name, 0) < since:
                yield name

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the number of requests by workspace, over all runs."""
        total: collections.Counter[str] = collections.Counter()
        for windows in self.counts.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def discard_before(self, window: int) -> None:
        """Discard windows before ``window``, and runs without later ones."""
        for run, windows in tuple(self.counts.items()):
            kept = {
                counted: rows
                for counted, rows in windows.items()
                if counted >= window
            }
            if kept:
                self.counts[run] = kept
            else:
                self.counts.pop(run)
