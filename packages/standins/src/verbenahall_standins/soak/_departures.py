"""Checks what reaches endpoints after the store had that they leave.

An instance in touch sends an endpoint nothing later than a bound after the
store has acknowledged that the endpoint is leaving or gone, whether or not the
endpoint's answers say so, too.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final

from verbenahall_standins.platform import Arrival, Notices
from verbenahall_standins.soak._records import Record

#: Time in which requests may still arrive, in seconds.
BOUND_S: Final = 2.0
#: Time for which an instance and the store have to be without disturbance to
#: be held to the bound, in seconds.
STABLE_S: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A leaving that the store acknowledged at ``at``, in monotonic seconds.

    ``start`` counts the starts of the endpoint with these ``notices``, and
    ``way`` says how it left.
    """

    endpoint: str
    notices: Notices
    start: int
    at: float
    way: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDisturbance:
    """A time in which the store is disturbed, for some instances or for all.

    ``instances`` is empty for all. The times are in monotonic seconds.
    """

    started_at: float
    ended_at: float
    instances: frozenset[str] = frozenset()

    def affects(self, instance: str, start: float, end: float) -> bool:
        """Whether it affects an instance between two times."""
        concerns = not self.instances or instance in self.instances
        return concerns and self.started_at <= end and start <= self.ended_at


#: Whether an instance was disturbed between two times.
WasDisturbed = Callable[[str, float, float], bool]


def find_late_arrivals(
    departures: Iterable[Departure],
    records: Sequence[Record],
    was_disturbed: WasDisturbed,
) -> Iterator[str]:
    """Yield a line for each departure after which requests arrived late."""
    by_id = {record.request_id: record for record in records}
    for departure in departures:
        late = [
            arrival
            for arrival in departure.notices.arrivals
            if arrival.start == departure.start
            and arrival.at > departure.at + BOUND_S
            and _was_sent_in_touch(arrival, by_id, was_disturbed)
        ]
        if late:
            yield _describe(departure, late, by_id)


def _was_sent_in_touch(
    arrival: Arrival,
    by_id: Mapping[str, Record],
    was_disturbed: WasDisturbed,
) -> bool:
    record = by_id.get(arrival.request_id)
    if record is None:
        return False
    start = arrival.at - STABLE_S
    return not was_disturbed(record.instance, start, arrival.at)


def _describe(
    departure: Departure,
    late: Sequence[Arrival],
    by_id: Mapping[str, Record],
) -> str:
    instances = sorted({by_id[one.request_id].instance for one in late})
    after_s = late[-1].at - departure.at
    return (
        f'{departure.endpoint} ({departure.way}): {len(late)} requests of'
        f' {", ".join(instances)} later than the bound, {late[-1].request_id}'
        f' {after_s:.1f} s after the store had its leaving'
    )
