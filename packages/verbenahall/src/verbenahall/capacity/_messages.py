"""Demand for a service, pools of engines and their sizes."""

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Any, Final, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

_MS_IN_SECOND: Final = 1000
#: Decimal places of a number of prefills per second.
_RATE_DECIMALS: Final = 2
#: First bytes of a ``DemandSum``, by which other datagrams are recognised
#: without being decoded.
_PREFIX: Final = b'{"demand_sum":'


@final
class CapacityKind(enum.Enum):
    """The kind of an engine; the platform may reclaim ``SPOT`` ones."""

    ON_DEMAND = 'on_demand'
    SPOT = 'spot'


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The engines of one kind in one data centre."""

    data_centre: str
    kind: CapacityKind


#: Number of engines by pool.
Sizes = Mapping[Pool, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for a service.

    ``prefill_s`` is the engine time of the prefills that are sent, in seconds
    per second, ``streams`` the number of open streams and ``prefills`` the
    number of prefills sent per second.
    """

    prefill_s: float = 0
    streams: float = 0
    prefills: float = 0

    @property
    def mean_prefill_s(self) -> float:
        """Mean engine time of a prefill, in seconds; 0 without prefills."""
        return self.prefill_s / self.prefills if self.prefills else 0

    def plus(self, other: 'Demand') -> 'Demand':
        """Return the sum."""
        return Demand(
            self.prefill_s + other.prefill_s,
            self.streams + other.streams,
            self.prefills + other.prefills,
        )

    def times(self, factor: float) -> 'Demand':
        """Return the demand multiplied by ``factor``."""
        return Demand(
            self.prefill_s * factor,
            self.streams * factor,
            self.prefills * factor,
        )


#: Demand by service.
Demands = Mapping[str, Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSum:
    """The demand that the instances of a data centre have counted."""

    data_centre: str
    demands: Demands


def export_demands(demands: Demands) -> dict[str, list[float]]:
    """Return demands as in heartbeats: times in whole milliseconds.

    For example ``{'drafter': [3120, 14, 25.5]}``: 3.12 engine-seconds of
    prefill per second, 14 open streams and 25.5 prefills per second.
    """
    return {
        service: [
            round(demand.prefill_s * _MS_IN_SECOND),
            round(demand.streams),
            round(demand.prefills, _RATE_DECIMALS),
        ]
        for service, demand in demands.items()
    }


def read_demands(table: Any) -> Demands:
    """Read exported demands; ``ValueError`` or ``TypeError`` if invalid."""
    if not isinstance(table, dict):
        raise TypeError(f'demand must be an object, not {table!r}')
    return {service: _read_demand(row) for service, row in table.items()}


def encode_sum(demand_sum: DemandSum) -> bytes:
    """Encode the demand of a data centre as a datagram."""
    return wire.encode(
        {
            'demand_sum': export_demands(demand_sum.demands),
            'dc': demand_sum.data_centre,
        },
    )


def decode_sum(datagram: bytes) -> Maybe[DemandSum]:
    """Decode a datagram; Nothing if it is not a valid ``DemandSum``."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'demand_sum': rows, 'dc': str(data_centre)}):
            pass
        case _:
            return Nothing
    try:
        return Some(DemandSum(data_centre, read_demands(rows)))
    except (TypeError, ValueError):
        return Nothing


def _read_demand(row: Any) -> Demand:
    numbers = [float(number) for number in row]
    if not all(map(_is_amount, numbers)):
        raise ValueError(f'demand must be finite and not negative: {row!r}')
    # The number of prefills is optional, and further numbers are ignored.
    prefill_ms, streams, prefills, *_ = (*numbers, 0)
    return Demand(prefill_ms / _MS_IN_SECOND, streams, prefills)


def _is_amount(number: float) -> bool:
    return math.isfinite(number) and number >= 0
