"""Reports usage while this instance holds the duty, and stands by else."""

import asyncio
import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.clock import Clock
from verbenahall.duties import DutyLease, Succession
from verbenahall.platform import DutyOutcome, Seal
from verbenahall.usage._clock import TrueClock
from verbenahall.usage._decisions import (
    Windows,
    find_settled,
    find_unpolled,
    list_undecided,
    may_decide,
)
from verbenahall.usage._exchange import DUTY, UsageExchange
from verbenahall.usage._reports import Reports

#: How often the loop looks at its clock, in seconds.
_LOOK_S: Final = 0.1
#: How often the holder asks for counts, in seconds: what a killed instance
#: has counted since the last time is lost.
_POLL_S: Final = 0.7
#: Time for one window's calls, in seconds.
LEASE_S: Final = 2.5
#: Pause before a call is tried again, in seconds.
_PAUSE_S: Final = 0.4
#: Windows that counts are kept for beyond the time of their reports.
_KEPT: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the reporter works with; ``name`` is the instance's."""

    name: str
    exchange: UsageExchange
    reports: Reports
    lease: DutyLease
    succession: Succession
    windows: Windows
    clock: TrueClock
    now: Clock


@final
class UsageReporter:
    """One instance's part in the duty of usage reports."""

    __slots__ = (
        '_holds',
        '_polled_at',
        '_tried_at',
        '_with',
        '_written',
    )

    def __init__(self, surroundings: Surroundings) -> None:
        """Prepare; nothing is asked or sent before ``run``."""
        self._with = surroundings
        self._holds = False
        self._polled_at = -float('inf')
        #: When a call failed that is to be tried again.
        self._tried_at = -float('inf')
        self._written = 0

    async def run(self) -> None:
        """Report or stand by until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            await self.step()

    async def step(self) -> None:
        """Do what is due now."""
        parts = self._with
        at = parts.clock.now()
        if self._holds:
            await self._carry_out(at)
        elif await parts.succession.step():
            journal.write_decision('duty_held', duty=DUTY)
            self._holds = True
            parts.reports.discard()
        else:
            await self._write_unasked(at)
        kept = parts.windows.find_overdue(at) - _KEPT
        parts.exchange.discard_before(kept)

    async def _carry_out(self, at: float) -> None:
        """Ask for counts, decide what is due, and send what was decided."""
        now = self._with.now()
        if now - self._polled_at >= _POLL_S:
            self._polled_at = now
            self._with.exchange.poll()
        if now - self._tried_at < _PAUSE_S:
            return
        if not await self._report_due(at):
            self._tried_at = self._with.now()

    async def _report_due(self, at: float) -> bool:
        """Decide and send under the lease; False if something is left."""
        reports = self._with.reports
        if reports.ledger is None and not await reports.load(at):
            return False
        due = self._list_due(at)
        if not due and not reports.list_unsent(at):
            return True
        token = await self._with.lease.acquire()
        if token is None:
            return self._judge_loss()
        for window in due:
            if not await self._decide(window, at):
                return False
        return await self._send_all(token, at)

    def _list_due(self, at: float) -> list[int]:
        ledger = self._with.reports.ledger
        if ledger is None:
            return []
        windows = self._with.windows
        self._with.reports.log_overdue(at)
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
        since = find_settled(self._with.windows, window)
        return self._with.exchange.list_unanswered(since)

    async def _decide(self, window: int, at: float) -> bool:
        exchange = self._with.exchange
        missing = self._list_missing(window)
        if missing:
            await exchange.read_counts()
            journal.write_decision(
                'usage_partial',
                window=window,
                missing=sorted(missing),
            )
        counts = exchange.gathered.sum_window(window)
        return await self._with.reports.decide(window, counts, at)

    async def _send_all(self, token: int, at: float) -> bool:
        reports = self._with.reports
        for window in reports.list_unsent(at):
            if self._with.lease.token() != token:
                return False
            seal = Seal(self._with.name, token)
            outcome = await reports.send(window, seal)
            if outcome is DutyOutcome.FENCED:
                self._with.lease.forget()
                self._end('a higher token was seen')
            if outcome is not DutyOutcome.DONE:
                return False
        return True

    def _judge_loss(self) -> bool:
        """Give the duty up when another one holds the lease."""
        lease = self._with.lease
        if lease.grant.token and lease.grant.holder != lease.holder:
            self._end('another instance holds the lease')
        return False

    def _end(self, reason: str) -> None:
        journal.write_decision('duty_lost', duty=DUTY, reason=reason)
        self._holds = False
        self._with.succession.note_lost()
        self._with.reports.discard()

    async def _write_unasked(self, at: float) -> None:
        """Write counts to the store that nobody has asked for in time."""
        exchange = self._with.exchange
        window = find_unpolled(self._with.windows, exchange.polled_at, at)
        if window is None or window <= self._written:
            return
        has_counts = exchange.meter.has_counts(window)
        if not has_counts or await exchange.write_counts():
            self._written = window
