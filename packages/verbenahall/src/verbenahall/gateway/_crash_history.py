"""Keeps what is known of crashes beyond the life of the instances.

An instance that was started again has no crash log of its own, and if all were,
none has: a request would have to crash endpoints anew before it is held back.
So the suspects of several crashes are in one record in the store, which two
instances of each data centre keep up to date, and which a started instance
reads, or gets from a peer, before it relies on its log.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final, final

from returns.maybe import Some

from verbenahall import journal, metrics, quarantine
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_queries import CrashQueries
from verbenahall.gateway._stored_crashes import StoredCrashes
from verbenahall.peers import (
    find_local_rank,
    has_unresponsive_peer,
    is_local_only,
)

_DUTY: Final = 'crashes'
#: Instances of a data centre that write the record.
_WRITERS: Final = 2
#: Interval at which the record is compared with the crash log, in seconds.
_CHECK_S: Final = 1.0
#: Delay after a change, in seconds, so that the reports of all instances about
#: one crash are written together. The second writer waits longer, and usually
#: finds the record written.
_SETTLE_S: Final = 0.05
_SECOND_WRITER_S: Final = 0.25
#: Least pause between two exchanges with the store, in seconds.
_PAUSE_S: Final = 0.2
#: How long an instance of a large fleet also reads the record after a repeated
#: crash that it has detected, in seconds.
_SHARE_S: Final = 10.0
#: Pause between two attempts to learn what is known, in seconds.
_RETRY_S: Final = 0.25
#: How long a started instance waits for the store before it asks a peer as
#: well, in seconds.
_STORE_S: Final = 0.15
#: How often a record is written again that another instance has overtaken.
_MAX_WRITES: Final = 3

#: Merges a report into the crash log; the second argument is its source.
Merge = Callable[[quarantine.CrashReport, str], object]


@final
class CrashHistory:
    """Reads the record once, and writes what started instances must know."""

    __slots__ = (
        '_changed',
        '_core',
        '_merge',
        '_queries',
        '_shares_until',
        '_stored',
    )

    def __init__(self, core: Core, merge: Merge) -> None:
        """Start without knowing the record."""
        self._changed = asyncio.Event()
        self._core = core
        self._merge = merge
        self._queries = CrashQueries(core)
        self._stored = StoredCrashes(core)
        self._shares_until = -float('inf')

    def notify(self) -> None:
        """Have the record compared with the crash log soon."""
        self._changed.set()

    def share(self) -> None:
        """Exchange crashes with other data centres for some seconds.

        In a large fleet, instances of different data centres exchange no
        heartbeats, so none knows whether its reports arrive.
        """
        self._shares_until = self._core.now() + _SHARE_S

    async def run(self) -> None:
        """Learn what is known, then keep the record, until cancelled."""
        while not self._core.crash_log.is_complete:
            if not await self.learn():
                await asyncio.sleep(_RETRY_S)
        while True:
            await self._wait_for_change()
            if self.is_due():
                await self.synchronize()
                await asyncio.sleep(_PAUSE_S)

    async def learn(self) -> bool:
        """Learn what is known from the store, or else from a peer."""
        log = self._core.crash_log
        reading = asyncio.create_task(self._read())
        with contextlib.ExitStack() as stack:
            stack.callback(reading.cancel)
            await asyncio.wait({reading}, timeout=_STORE_S)
            if not _has_read(reading):
                await self._learn_from_peer()
            log.is_complete = log.is_complete or await reading is not None
        return log.is_complete

    async def synchronize(self) -> bool:
        """Merge the record, and write it if it is outdated.

        Return whether the record is up to date. Another writer may be faster;
        then its record is merged first.
        """
        writes_left = _MAX_WRITES
        while writes_left:
            writes_left -= 1
            end = await self._read()
            if end is None:
                return False
            needed = self._list_needed()
            if not quarantine.is_outdated(
                self._core.crash_log, self._stored.pairs, needed
            ):
                return True
            report = quarantine.make_record(
                self._core.crash_log,
                self._stored.pairs,
                needed,
                self._core.now(),
            )
            if await self._stored.write(report, end):
                return True
        return False

    def is_due(self) -> bool:
        """Whether the record has to be read, and perhaps written."""
        log = self._core.crash_log
        needed = self._list_needed()
        if _is_partitioned(self._core, self._shares_until):
            return bool(needed)
        if _find_rank(self._core) >= _WRITERS:
            return False
        has_returned = self._stored.has_returned
        is_empty = not (needed or self._stored.pairs)
        if has_returned and not is_empty:
            return True
        return quarantine.is_outdated(log, self._stored.pairs, needed)

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_S):
                await self._changed.wait()
                rank = _find_rank(self._core)
                await asyncio.sleep(_SETTLE_S + _SECOND_WRITER_S * bool(rank))
        self._changed.clear()

    def _list_needed(self) -> quarantine.CrashPairs:
        return quarantine.list_needed(
            self._core.crash_log,
            self._core.now(),
            with_recent=_is_partitioned(self._core, self._shares_until),
        )

    async def _read(self) -> int | None:
        """Merge the record; return the end of its topic, None if unknown."""
        found = await self._stored.read()
        if found is None:
            return None
        self._record_learnt(found.report, 'store')
        return found.end

    async def _learn_from_peer(self) -> None:
        match await self._queries.ask():
            case Some((report, peer)):
                self._record_learnt(report, peer)
                self._core.crash_log.is_complete = True
            case _:
                journal.write_decision('crashes_unknown')

    def _record_learnt(
        self, report: quarantine.CrashReport, source: str
    ) -> None:
        """Merge a report; log the first one, by which the past is known."""
        self._merge(report, source)
        if self._core.crash_log.is_complete:
            return
        metrics.LEARNT_CRASHES.add(source if source == 'store' else 'peer')
        journal.write_decision(
            'crashes_learnt',
            source=source,
            crashes=len(report.crashes),
            suspects=len({key for _, key in quarantine.list_pairs(report)}),
        )


def _has_read(reading: asyncio.Task[int | None]) -> bool:
    return reading.done() and reading.result() is not None


def _find_rank(core: Core) -> int:
    return find_local_rank(core.peer_table, _DUTY, core.now())


def _is_partitioned(core: Core, shares_until: float) -> bool:
    """Whether some peers may not receive this instance's reports."""
    if is_local_only(core.peer_table):
        return core.now() < shares_until
    return has_unresponsive_peer(core.peer_table, core.now())
