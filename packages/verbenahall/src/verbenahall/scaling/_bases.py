"""Base size of a service: its number of engines before it was scaled."""

from collections.abc import Sequence
from typing import Final, final

from returns.result import Success

from verbenahall import journal, wire
from verbenahall.clock import Clock
from verbenahall.platform import (
    SCALING_TOPIC,
    Appended,
    KeyedRecord,
    StoreClient,
    encode_keyed,
)
from verbenahall.roster import Entry

#: Time in seconds without a new engine before the engines are counted, since
#: engines that start together are listed one after the other.
_JOIN_SETTLE_S: Final = 1.5
#: Names of the engines, and when the last of them joined.
_Joins = tuple[frozenset[str], float]


@final
class BaseSizes:
    """Base sizes by service, kept in the store for all holders of the duty.

    The first holder counts the engines. If a later holder counted again, it
    would include the engines that scaling has added.
    """

    __slots__ = ('_bases', '_joins', '_now', '_store')

    def __init__(self, store: StoreClient, now: Clock) -> None:
        """Start without base sizes."""
        self._bases: dict[str, int] = {}
        self._now = now
        self._joins: dict[str, _Joins] = {}
        self._store = store

    async def find(self, service: str, engines: Sequence[Entry]) -> int:
        """Return the base size of a service, 0 while it is unknown."""
        known = self._bases.get(service)
        if known is not None:
            return known
        if not engines or self._has_recent_joins(service, engines):
            return 0
        match await self._store.read_newest(SCALING_TOPIC):
            case Success(newest):
                base = _decode(newest.items.get(service, b''))
            case _:
                return 0
        if not base:
            base = await self._write(service, len(engines), newest.end)
        if base:
            self._bases[service] = base
            journal.write_decision(
                'scaling_base',
                service=service,
                engines=base,
            )
        return base

    async def _write(self, service: str, engines: int, end: int) -> int:
        """Write a base size; return it, or 0 if the write may have failed."""
        content = wire.encode({'base': engines})
        record = encode_keyed(KeyedRecord(service, content))
        outcome = await self._store.append(SCALING_TOPIC, [record], end)
        return engines if isinstance(outcome, Appended) else 0

    def _has_recent_joins(self, service: str, engines: Sequence[Entry]) -> bool:
        """Whether engines have joined recently, so that more may follow."""
        now = self._now()
        names = frozenset(engine.name for engine in engines)
        known, joined_at = self._joins.get(service, (frozenset(), now))
        if names - known:
            joined_at = now
        self._joins[service] = (names, joined_at)
        return now - joined_at < _JOIN_SETTLE_S


def _decode(content: bytes) -> int:
    match wire.decode_table(content):
        case Success({'base': int(base)}) if base > 0:
            return base
        case _:
            return 0
