"""How many engines a service had before it was scaled."""

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

#: No engine must have joined for this long before their number is taken, in
#: seconds: those that start together are listed one by one.
_STILL_S: Final = 1.5
#: Engines by name, and when one had joined.
_Seen = tuple[frozenset[str], float]


@final
class BaseSizes:
    """The first holder writes the numbers down, for all later ones.

    A successor that counted anew would take the reserve for a part of them.
    """

    __slots__ = ('_known', '_now', '_seen', '_store')

    def __init__(self, store: StoreClient, now: Clock) -> None:
        """Start knowing no number."""
        self._known: dict[str, int] = {}
        self._now = now
        self._seen: dict[str, _Seen] = {}
        self._store = store

    async def find(self, service: str, engines: Sequence[Entry]) -> int:
        """Return how many engines are to serve, 0 before that is known."""
        known = self._known.get(service)
        if known is not None:
            return known
        if not engines or self._is_growing(service, engines):
            return 0
        match await self._store.read_newest(SCALING_TOPIC):
            case Success(newest):
                base = _decode(newest.items.get(service, b''))
            case _:
                return 0
        if not base:
            base = await self._write(service, len(engines), newest.end)
        if base:
            self._known[service] = base
            journal.write_decision(
                'scaling_base',
                service=service,
                engines=base,
            )
        return base

    async def _write(self, service: str, engines: int, end: int) -> int:
        """Write a number down; 0 when it is not known to be in."""
        content = wire.encode({'base': engines})
        record = encode_keyed(KeyedRecord(service, content))
        outcome = await self._store.append(SCALING_TOPIC, [record], end)
        return engines if isinstance(outcome, Appended) else 0

    def _is_growing(self, service: str, engines: Sequence[Entry]) -> bool:
        """Whether engines have joined lately, and more may follow."""
        now = self._now()
        names = frozenset(engine.name for engine in engines)
        known, joined_at = self._seen.get(service, (frozenset(), now))
        if names - known:
            joined_at = now
        self._seen[service] = (names, joined_at)
        return now - joined_at < _STILL_S


def _decode(content: bytes) -> int:
    match wire.decode_table(content):
        case Success({'base': int(base)}) if base > 0:
            return base
        case _:
            return 0
