"""The demand of all data centres, as the holder of the duty knows it."""

import dataclasses
import functools
from collections.abc import Iterable
from typing import Final, final

from verbenahall.capacity._messages import Demand, DemandSum, Demands

#: A data centre whose last sum is older than this is silent, in seconds. Sums
#: are sent every half second.
_SILENT_S: Final = 3.0
#: Time for which the last sum of a silent data centre counts, in seconds;
#: longer than most partitions and changes of the instance that sends the sum.
_LAST_SUM_S: Final = 10.0
#: Time after which a silent data centre counts no longer, in seconds: its
#: instances have been removed, or callers have long gone elsewhere.
_FORGOTTEN_S: Final = 60.0
_NO_DEMAND: Final = Demand()


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedSum:
    """The last sum of a data centre, and when it was received."""

    demands: Demands
    at: float


@final
class DemandTable:
    """The last sum of each data centre; times are monotonic."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        """Start without any sum."""
        self._sums: dict[str, _ReceivedSum] = {}

    def record(self, demand_sum: DemandSum, now: float) -> None:
        """Record the sum of a data centre."""
        self._sums[demand_sum.data_centre] = _ReceivedSum(
            demand_sum.demands, now
        )

    def total(self, service: str, now: float) -> Demand:
        """Return the demand for a service in all data centres.

        A data centre that has been silent for long counts with the mean of
        the others: its callers are still there.
        """
        heard = []
        missing = 0
        for centre, received in tuple(self._sums.items()):
            age_s = now - received.at
            if age_s < _SILENT_S + _LAST_SUM_S:
                heard.append(received.demands.get(service, _NO_DEMAND))
            elif age_s < _FORGOTTEN_S:
                missing += 1
            else:
                self._sums.pop(centre)
        known = add_demands(heard)
        return known.times(1 + missing / len(heard)) if heard else known

    def list_centres(self) -> list[str]:
        """Return the data centres with instances, as far as known."""
        return list(self._sums)


def add_demands(demands: Iterable[Demand]) -> Demand:
    """Return the sum of demands for one service."""
    return functools.reduce(Demand.plus, demands, _NO_DEMAND)


def add_tables(tables: Iterable[Demands]) -> Demands:
    """Return the sum of the demands of several instances, by service."""
    sums: dict[str, Demand] = {}
    for table in tables:
        for service, demand in table.items():
            sums[service] = sums.get(service, _NO_DEMAND).plus(demand)
    return sums
