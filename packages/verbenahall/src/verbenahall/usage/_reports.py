"""Decides each window's report once, and sends decided reports.

If the response to a report is lost, the platform may still process the report,
even seconds later. A second report of the window with other counts would then
bill the window twice. So a report is written to the store before it is sent,
and every holder of the duty sends the report from the store.
"""

from collections.abc import Iterable
from typing import Final, final

from returns.maybe import Some
from returns.result import Success

from verbenahall import journal, metrics
from verbenahall.platform import (
    REPORTS_TOPIC,
    Appended,
    DutyClient,
    DutyOutcome,
    KeyedRecord,
    LeaseToken,
    StoreClient,
    encode_keyed,
)
from verbenahall.usage._decisions import Windows, find_last_due
from verbenahall.usage._ledger import (
    ReportLedger,
    decide,
    decode_ledger,
    encode_ledger,
    recover_ledger,
)
from verbenahall.usage._meter import Counts

#: Key of the ledger in its topic.
_KEY: Final = 'ledger'
#: The era of a store that has never returned from a copy.
_FIRST_ERA: Final = 1


@final
class UsageReports:
    """The ledger in the store, and the windows whose reports were sent.

    ``ledger`` is None until it has been read, and again after an append that
    did not succeed or whose outcome is unknown. What this instance has decided
    in its present term is kept beyond that: the store may lose it.
    """

    __slots__ = (
        'ledger',
        '_calls',
        '_decided',
        '_end',
        '_overdue',
        '_sent',
        '_store',
        '_windows',
    )

    def __init__(
        self,
        store: StoreClient,
        calls: DutyClient,
        windows: Windows,
    ) -> None:
        """Start without a ledger."""
        self.ledger: ReportLedger | None = None
        self._calls = calls
        self._decided: ReportLedger | None = None
        self._end = 0
        self._overdue = 0
        self._sent: set[int] = set()
        self._store = store
        self._windows = windows

    @property
    def is_loaded(self) -> bool:
        """Whether the ledger was read or written in the store's present era."""
        return self.ledger is not None and self._store.is_current(self._end)

    async def load(self, now: float) -> bool:
        """Read the ledger; return whether the store was available.

        Without a ledger all windows that are not overdue are undecided.
        """
        match await self._store.read_newest(REPORTS_TOPIC):
            case Success(newest):
                self._end = newest.end
                content = newest.items.get(_KEY, b'')
            case _:
                return False
        match decode_ledger(content):
            case Some(ledger):
                self.ledger = self._recover(ledger, now)
            case _ if content:
                # It is unknown which windows were reported, so no past window
                # is reported again.
                journal.write_decision('reports_unreadable')
                self.ledger = ReportLedger(self._windows.find(now) - 1)
            case _:
                overdue = self._windows.find_overdue(now)
                first = ReportLedger(overdue, era=_FIRST_ERA)
                self.ledger = self._recover(first, now)
        self._decided = self.ledger
        return True

    def discard(self) -> None:
        """Discard the state that another holder of the duty may change."""
        self.ledger = None
        self._decided = None
        self._sent.clear()

    async def decide(self, window: int, counts: Counts, now: float) -> bool:
        """Write a window's report; return whether the store has accepted it."""
        ledger = self.ledger
        if ledger is None:
            return False
        overdue = self._windows.find_overdue(now)
        still_open = {
            decided: rows
            for decided, rows in ledger.open.items()
            if decided not in self._sent and decided > overdue
        }
        updated = decide(ledger, window, counts, still_open)
        record = encode_keyed(KeyedRecord(_KEY, encode_ledger(updated)))
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
        self._end = outcome.position + 1
        self.ledger = updated
        self._decided = updated
        return True

    def list_unsent(self, now: float) -> Iterable[int]:
        """Return the decided windows whose reports can still be sent."""
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
        """Log and count each window that was not decided in time."""
        overdue = self._windows.find_overdue(now)
        decided = self.ledger.last if self.ledger else overdue
        for window in range(max(decided, self._overdue) + 1, overdue + 1):
            metrics.USAGE_WINDOWS.add('missed')
            journal.write_decision('usage_missed', window=window)
        self._overdue = max(self._overdue, overdue)

    async def send(self, window: int, lease_token: LeaseToken) -> DutyOutcome:
        """Send the report of a decided window."""
        counts = self.ledger.open[window] if self.ledger else {}
        outcome = await self._calls.report_usage(lease_token, window, counts)
        metrics.USAGE_WINDOWS.add(outcome.value)
        journal.write_decision(
            'usage_sent',
            window=window,
            token=lease_token.token,
            outcome=outcome.value,
        )
        if outcome in {DutyOutcome.DONE, DutyOutcome.REJECTED}:
            self._sent.add(window)
        return outcome

    def _recover(self, stored: ReportLedger, now: float) -> ReportLedger:
        """Return the ledger to go on with, and log what may be lost."""
        era = self._store.era.current
        last_due = find_last_due(self._windows, now)
        found = recover_ledger(stored, self._decided, era, last_due)
        if found.last > stored.last:
            journal.write_decision(
                'reports_returned',
                era=era,
                stored=stored.last,
                last=found.last,
                is_known=self._decided is not None,
            )
        return found
