"""What the reporting instance has heard of the counts of all instances."""

import collections
import dataclasses
from collections.abc import Collection, Iterator, Mapping
from typing import final

from verbenahall.usage._messages import UsageAnswer
from verbenahall.usage._meter import Counts


#: The counts of one run, by window.
_Run = dict[int, collections.Counter[str]]


@dataclasses.dataclass(slots=True)
class _Answer:
    """The parts of an answer that have come, of one poll."""

    number: int
    parts: set[int]


@final
class GatheredCounts:
    """Counts by run of an instance; each of them only grows.

    ``answered_at`` is when an instance's last whole answer came, in true time,
    and ``leads`` how far its clock was ahead of ours.
    """

    __slots__ = ('counts', 'answered_at', 'leads', '_answers')

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.counts: dict[str, _Run] = {}
        self.answered_at: dict[str, float] = {}
        self.leads: dict[str, float] = {}
        self._answers: dict[str, _Answer] = {}

    def add_answer(self, told: UsageAnswer, now: float, lead_s: float) -> None:
        """Take a part of an answer; again, or late, it changes nothing."""
        self.merge(told.run, told.counts)
        answer = self._answers.get(told.instance)
        if answer is None or answer.number < told.number:
            answer = _Answer(told.number, set())
            self._answers[told.instance] = answer
        if answer.number != told.number:
            return
        answer.parts.add(told.part)
        self.leads[told.instance] = lead_s
        if len(answer.parts) == told.parts:
            self.answered_at[told.instance] = now

    def merge(self, run: str, counts: Mapping[int, Counts]) -> None:
        """Take the larger one of each two counts."""
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
        """Yield the instances without a whole answer since a time."""
        for name in instances:
            if self.answered_at.get(name, 0) < since:
                yield name

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace over all runs."""
        total: collections.Counter[str] = collections.Counter()
        for windows in self.counts.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def discard_before(self, window: int) -> None:
        """Drop the windows before one, and runs that have no others."""
        for run, windows in tuple(self.counts.items()):
            kept = {
                known: rows
                for known, rows in windows.items()
                if known >= window
            }
            if kept:
                self.counts[run] = kept
            else:
                self.counts.pop(run)
