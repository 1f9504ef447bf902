"""Crash reports that instances exchange through the store.

Parts of a fleet that are partitioned from each other may still reach the store.
Without these reports, a request would have to crash endpoints in each part
before all instances refuse it.
"""

from typing import final

from returns.maybe import Some

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.platform import (
    CRASHES_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
)
from verbenahall.quarantine import CrashReport, decode, encode


@final
class StoredCrashes:
    """Writes this instance's report to the store and reads all reports.

    The store holds one record for each instance, with its recent suspects.
    """

    __slots__ = ('_core', '_written', '_written_in')

    def __init__(self, core: Core) -> None:
        """Start with nothing written."""
        self._core = core
        self._written: frozenset[tuple[str, str]] = frozenset()
        #: The era of the store for which they were written.
        self._written_in = 0

    async def write(self, report: CrashReport) -> None:
        """Write a report unless its crashes were the last ones written.

        If the store has returned from an older copy since, they may be lost.
        """
        crashes = _list_crashes(report)
        era = self._core.store.era.latest
        if crashes == self._written and era == self._written_in:
            return
        record = KeyedRecord(self._core.settings.name, encode(report))
        outcome = await self._core.store.append(
            CRASHES_TOPIC,
            [encode_keyed(record)],
        )
        if isinstance(outcome, Appended):
            self._written = crashes
            self._written_in = max(era, self._core.store.era.current)

    async def read(self) -> list[tuple[CrashReport, str]]:
        """Return each instance's report with the instance's name.

        The list is empty if the store can't be read.
        """
        newest = await self._core.store.read_newest(CRASHES_TOPIC)
        records = newest.map(lambda found: found.items).value_or({})
        reports = []
        for name, content in records.items():
            match decode(content):
                case Some(report):
                    reports.append((report, name))
                case _:
                    journal.write_decision('crashes_unreadable', peer=name)
        return reports


def _list_crashes(report: CrashReport) -> frozenset[tuple[str, str]]:
    return frozenset(
        (crash.incarnation, fingerprint)
        for crash in report.crashes
        for fingerprint in crash.fingerprints
    )
