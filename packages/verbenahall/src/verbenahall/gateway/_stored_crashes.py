"""The record of crashes in the store."""

import dataclasses
from typing import Final, final

from returns.maybe import Nothing
from returns.result import Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.platform import (
    CRASHES_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
)
from verbenahall.quarantine import (
    NO_PAIRS,
    CrashReport,
    decode_record,
    encode_record,
    list_pairs,
)

#: Key of the record. Instances of earlier versions write others, whose age is
#: not known.
_KEY: Final = 'history'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoredReport:
    """The report on record, and the position of the topic's next record."""

    report: CrashReport
    end: int


@final
class StoredCrashes:
    """Reads and writes the record; ``pairs`` are the crashes on it."""

    __slots__ = ('_core', '_era', 'pairs')

    def __init__(self, core: Core) -> None:
        """Start without knowing the record."""
        self._core = core
        #: The era of the store in which the record was read or written.
        self._era = 0
        self.pairs = NO_PAIRS

    @property
    def has_returned(self) -> bool:
        """Whether the store may have returned without the record."""
        return self._core.store.era.latest != self._era

    async def read(self) -> StoredReport | None:
        """Read the record, which may be empty; None without an answer."""
        store = self._core.store
        era = store.era.latest
        found = await store.read_newest(CRASHES_TOPIC)
        if not isinstance(found, Success):
            return None
        newest = found.unwrap()
        content = newest.items.get(_KEY, b'')
        decoded = decode_record(content, self._core.synced_clock.now())
        if content and decoded is Nothing:
            journal.write_decision('crashes_unreadable')
        report = decoded.value_or(CrashReport())
        self.pairs = list_pairs(report)
        self._era = max(era, store.era.current)
        return StoredReport(report, newest.end)

    async def write(self, report: CrashReport, end: int) -> bool:
        """Write the record unless another one was written at ``end``."""
        content = encode_record(report, self._core.synced_clock.now())
        outcome = await self._core.store.append(
            CRASHES_TOPIC, [encode_keyed(KeyedRecord(_KEY, content))], end
        )
        pairs = list_pairs(report)
        journal.write_decision(
            'crashes_recorded',
            outcome=type(outcome).__name__.lower(),
            crashes=len(report.crashes),
            suspects=len({key for _, key in pairs}),
        )
        if isinstance(outcome, Appended):
            self.pairs = pairs
            return True
        return False
