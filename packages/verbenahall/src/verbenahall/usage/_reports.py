"""Decides each window's report once for ever, and sends what was decided.

A report that was sent without an answer may be carried out seconds later.
With other counts in a second one the platform would bill twice, so a report
is in the store before it is sent, and every holder sends that record.
"""

from collections.abc import Iterable
from typing import Final, final

from returns.maybe import Some
from returns.result import Success

from verbenahall import journal, metrics
from verbenahall.platform import (
    REPORTS_TOPIC,
    Appended,
    DutyCalls,
    DutyOutcome,
    KeyedRecord,
    Seal,
    StoreClient,
    encode_keyed,
)
from verbenahall.usage._decisions import Windows
from verbenahall.usage._ledger import (
    ReportLedger,
    decide,
    decode_ledger,
    encode_ledger,
)
from verbenahall.usage._meter import Counts

_KEY: Final = 'ledger'


@final
class Reports:
    """The ledger as the store has it, and what of it was sent.

    ``ledger`` is None until it was read, and again after an append whose
    outcome is not known.
    """

    __slots__ = (
        'ledger',
        '_calls',
        '_end',
        '_overdue',
        '_sent',
        '_store',
        '_windows',
    )

    def __init__(
        self,
        store: StoreClient,
        calls: DutyCalls,
        windows: Windows,
    ) -> None:
        """Start without a ledger."""
        self.ledger: ReportLedger | None = None
        self._calls = calls
        self._end = 0
        self._overdue = 0
        self._sent: set[int] = set()
        self._store = store
        self._windows = windows

    async def load(self, now: float) -> bool:
        """Read the ledger; without one every window in time is undecided."""
        match await self._store.read_newest(REPORTS_TOPIC):
            case Success(newest):
                self._end = newest.end
                content = newest.items.get(_KEY, b'')
            case _:
                return False
        match decode_ledger(content):
            case Some(ledger):
                self.ledger = ledger
            case _ if content:
                # What was reported before is not known, so none of it is
                # reported again.
                journal.write_decision('reports_unreadable')
                self.ledger = ReportLedger(self._windows.find(now) - 1)
            case _:
                self.ledger = ReportLedger(self._windows.find_overdue(now))
        return True

    def discard(self) -> None:
        """Drop what another holder may change."""
        self.ledger = None
        self._sent.clear()

    async def decide(self, window: int, counts: Counts, now: float) -> bool:
        """Write a window's report down; False when it is not known to be in."""
        ledger = self.ledger
        if ledger is None:
            return False
        overdue = self._windows.find_overdue(now)
        still_open = {
            known: rows
            for known, rows in ledger.open.items()
            if known not in self._sent and known > overdue
        }
        grown = decide(ledger, window, counts, still_open)
        record = encode_keyed(KeyedRecord(_KEY, encode_ledger(grown)))
        outcome = await self._store.append(REPORTS_TOPIC, [record], self._end)
        journal.write_decision(
            'usage_decided',
            window=window,
            workspaces=len(counts),
            requests=sum(counts.values()),
            outcome=repr(outcome),
        )
        if not isinstance(outcome, Appended):
            self.ledger = None
            return False
        self._end = outcome.offset + 1
        self.ledger = grown
        return True

    def list_unsent(self, now: float) -> Iterable[int]:
        """Return the windows whose reports are still to be sent."""
        ledger = self.ledger
        if ledger is None:
            return ()
        overdue = self._windows.find_overdue(now)
        return [
            window
            for window in sorted(ledger.open)
            if window not in self._sent and window > overdue
        ]

    def log_overdue(self, now: float) -> None:
        """Write a line for each window that got no report in time."""
        overdue = self._windows.find_overdue(now)
        decided = self.ledger.last if self.ledger else overdue
        for window in range(max(decided, self._overdue) + 1, overdue + 1):
            metrics.USAGE_WINDOWS.add('missed')
            journal.write_decision('usage_missed', window=window)
        self._overdue = max(self._overdue, overdue)

    async def send(self, window: int, seal: Seal) -> DutyOutcome:
        """Send a report that was decided."""
        counts = self.ledger.open[window] if self.ledger else {}
        outcome = await self._calls.report_usage(seal, window, counts)
        metrics.USAGE_WINDOWS.add(outcome.value)
        journal.write_decision(
            'usage_sent',
            window=window,
            token=seal.token,
            outcome=outcome.value,
        )
        if outcome in {DutyOutcome.DONE, DutyOutcome.REJECTED}:
            self._sent.add(window)
        return outcome
