"""Reports usage while this instance holds the duty, else stands by."""

import asyncio
import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.clock import Clock
from verbenahall.duties import DutyLease, Succession
from verbenahall.platform import DutyOutcome, LeaseToken, StoreEra
from verbenahall.usage._clock import SyncedClock
from verbenahall.usage._decisions import (
    Windows,
    find_settled,
    find_unpolled,
    list_undecided,
    may_decide,
)
from verbenahall.usage._exchange import DUTY, UsageExchange
from verbenahall.usage._reports import UsageReports

#: Interval at which the loop runs a step, in seconds.
_CHECK_INTERVAL_S: Final = 0.1
#: Interval of the holder's polls, in seconds. A killed instance loses what it
#: has counted since the last poll.
_POLL_INTERVAL_S: Final = 0.7
#: Lease on the duty, in seconds; it covers the calls for one window.
LEASE_S: Final = 2.5
#: Time before a failed call is retried, in seconds.
_RETRY_INTERVAL_S: Final = 0.4
#: Number of windows before the last overdue one whose counts are kept.
_EXTRA_WINDOWS: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of the reporter; ``name`` is the instance's."""

    name: str
    exchange: UsageExchange
    reports: UsageReports
    lease: DutyLease
    succession: Succession
    windows: Windows
    clock: SyncedClock
    now: Clock
    store_era: StoreEra


@final
class UsageReporter:
    """Carries out the duty of usage reports if this instance holds it."""

    __slots__ = (
        '_dependencies',
        '_failed_at',
        '_holds_duty',
        '_polled_at',
        '_written_in',
        '_written_window',
    )

    def __init__(self, dependencies: Dependencies) -> None:
        """Create the reporter; nothing is sent before ``run``."""
        self._dependencies = dependencies
        self._holds_duty = False
        self._polled_at = -float('inf')
        #: When the last call failed.
        self._failed_at = -float('inf')
        self._written_in = 0
        self._written_window = 0

    async def run(self) -> None:
        """Report or stand by until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Run one step of the duty, or of standing by for it."""
        dependencies = self._dependencies
        at = dependencies.clock.now()
        if self._holds_duty:
            await self._run_duty(at)
        elif await dependencies.succession.step():
            journal.write_decision('duty_held', duty=DUTY)
            self._holds_duty = True
            dependencies.reports.discard()
        else:
            await self._write_unpolled(at)
        first_kept = dependencies.windows.find_overdue(at) - _EXTRA_WINDOWS
        dependencies.exchange.discard_before(first_kept)

    async def _run_duty(self, at: float) -> None:
        """Poll counts, decide the windows that are due, and send reports."""
        now = self._dependencies.now()
        if now - self._polled_at >= _POLL_INTERVAL_S:
            self._polled_at = now
            self._dependencies.exchange.poll()
        if now - self._failed_at < _RETRY_INTERVAL_S:
            return
        if not await self._report_due(at):
            self._failed_at = self._dependencies.now()

    async def _report_due(self, at: float) -> bool:
        """Decide and send what is due; return whether all calls succeeded."""
        reports = self._dependencies.reports
        await self._dependencies.lease.restore()
        if not reports.is_loaded and not await reports.load(at):
            return False
        due = self._list_due(at)
        if not due and not reports.list_unsent(at):
            return True
        token = await self._dependencies.lease.acquire()
        if token is None:
            return self._check_lease_lost()
        for window in due:
            if not await self._decide(window, at):
                return False
        return await self._send_all(token, at)

    def _list_due(self, at: float) -> list[int]:
        ledger = self._dependencies.reports.ledger
        if ledger is None:
            return []
        windows = self._dependencies.windows
        self._dependencies.reports.log_overdue(at)
        return [
            window
            for window in list_undecided(windows, ledger.last, at)
            if may_decide(
                windows,
                window,
                at,
                is_complete=not self._list_missing(window),
            )
        ]

    def _list_missing(self, window: int) -> list[str]:
        since = find_settled(self._dependencies.windows, window)
        return self._dependencies.exchange.list_unanswered(since)

    async def _decide(self, window: int, at: float) -> bool:
        exchange = self._dependencies.exchange
        missing = self._list_missing(window)
        if missing:
            await exchange.read_counts()
            journal.write_decision(
                'usage_partial',
                window=window,
                missing=sorted(missing),
            )
        counts = exchange.gathered.sum_window(window)
        return await self._dependencies.reports.decide(window, counts, at)

    async def _send_all(self, token: int, at: float) -> bool:
        reports = self._dependencies.reports
        for window in reports.list_unsent(at):
            if self._dependencies.lease.token() != token:
                return False
            lease_token = LeaseToken(self._dependencies.name, token)
            outcome = await reports.send(window, lease_token)
            if outcome is DutyOutcome.FENCED:
                self._dependencies.lease.discard_token()
                self._step_down('a higher token was seen')
            if outcome is not DutyOutcome.DONE:
                return False
        return True

    def _check_lease_lost(self) -> bool:
        """Step down if another instance holds the lease; return False."""
        lease = self._dependencies.lease
        if lease.grant.token and lease.grant.holder != lease.holder:
            self._step_down('another instance holds the lease')
        return False

    def _step_down(self, reason: str) -> None:
        journal.write_decision('duty_lost', duty=DUTY, reason=reason)
        self._holds_duty = False
        self._dependencies.succession.step_down()
        self._dependencies.reports.discard()

    async def _write_unpolled(self, at: float) -> None:
        """Write the counts to the store if they were not polled in time."""
        exchange = self._dependencies.exchange
        window = find_unpolled(
            self._dependencies.windows, exchange.polled_at, at
        )
        era = self._dependencies.store_era.latest
        if era != self._written_in:
            # The store may have returned without what was written.
            self._written_in = era
            self._written_window = 0
        if window is None or window <= self._written_window:
            return
        now = self._dependencies.now()
        if now - self._failed_at < _RETRY_INTERVAL_S:
            return
        has_counts = exchange.meter.has_counts(window)
        if not has_counts or await exchange.write_counts():
            self._written_window = window
        else:
            self._failed_at = self._dependencies.now()
