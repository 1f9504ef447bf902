"""The last orders of each service, kept in the store for a successor."""

import dataclasses
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final, final

from returns.result import Success

from verbenahall import journal, wire
from verbenahall.capacity import (
    CapacityKind,
    Demand,
    Demands,
    Pool,
    Sizes,
    export_demands,
    read_demands,
)
from verbenahall.platform import (
    SCALING_TOPIC,
    Appended,
    KeyedRecord,
    StoreClient,
    encode_keyed,
)

_NO_RECORDS: Final[Mapping[str, 'OrderRecord']] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """The last target of each pool of a service, recorded before the orders.

    ``token`` is the fencing token under which they were sent, and ``demand``
    the demand at that time.
    """

    targets: Sizes
    token: int
    demand: Demand


@final
class OrderRecords:
    """Records of orders by service.

    ``known`` holds the records that were read last. A write is conditional on
    the end of the topic as last seen, so that a holder which has lost the
    lease never overwrites the record of its successor.
    """

    __slots__ = ('known', '_end', '_store')

    def __init__(self, store: StoreClient) -> None:
        """Start without a record; ``read`` has to precede ``write``."""
        self.known = _NO_RECORDS
        self._end: int | None = None
        self._store = store

    @property
    def is_read(self) -> bool:
        """Whether the records are known up to the end of the topic."""
        return self._end is not None and self._store.is_current(self._end)

    def discard(self) -> None:
        """Discard what is known, so that it is read again."""
        self._end = None

    async def read(self) -> bool:
        """Read all records; return whether the store answered."""
        match await self._store.read_newest(SCALING_TOPIC):
            case Success(newest):
                self._end = newest.end
                self.known = {
                    service: record
                    for service, content in newest.items.items()
                    if (record := _decode(service, content)) is not None
                }
                return True
            case _:
                return False

    async def write(self, service: str, record: OrderRecord) -> bool:
        """Write a record; return whether the store has it for certain."""
        content = KeyedRecord(service, _encode(service, record))
        outcome = await self._store.append(
            SCALING_TOPIC, [encode_keyed(content)], self._end
        )
        match outcome:
            case Appended(position):
                self._end = position + 1
                return True
            case _:
                self.discard()
                journal.write_decision(
                    'scaling_not_recorded',
                    service=service,
                    token=record.token,
                    outcome=repr(outcome),
                )
                return False


def _encode(service: str, record: OrderRecord) -> bytes:
    return wire.encode(
        {
            # Instances of the previous version count the engines again unless
            # they find a number here.
            'base': max(1, sum(record.targets.values())),
            'pools': [
                [pool.data_centre, pool.kind.value, size]
                for pool, size in record.targets.items()
            ],
            'token': record.token,
            'demand': export_demands({service: record.demand}),
        },
    )


def _decode(service: str, content: bytes) -> OrderRecord | None:
    """Decode a record; None if it is invalid or of the previous version."""
    match wire.decode_table(content):
        case Success(
            {'pools': list(rows), 'token': int(token), 'demand': dict(table)}
        ):
            pass
        case _:
            return None
    try:
        return OrderRecord(
            _read_targets(rows),
            token,
            _find_demand(read_demands(table), service),
        )
    except (TypeError, ValueError) as error:
        journal.write_decision(
            'scaling_unreadable', service=service, error=repr(error)
        )
        return None


def _read_targets(rows: Iterable[Any]) -> dict[Pool, int]:
    return {
        Pool(str(centre), CapacityKind(kind)): max(0, int(size))
        for centre, kind, size in rows
    }


def _find_demand(demands: Demands, service: str) -> Demand:
    return demands.get(service, Demand())
