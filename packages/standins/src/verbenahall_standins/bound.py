"""Upper bound on the number of requests answered in time.

The bound models all engines as one server with their total speed, whose
batches are always full, whose role changes are free and which can preempt
any request. The server works on the request with the earliest due time. When
a request would be late, it drops the open request with the most work left,
which maximizes the number of answered requests. The length of each answer is
known on arrival. No policy on real engines reaches this bound.
"""

import heapq
from collections.abc import Sequence

from verbenahall_standins.traces import Arrival, Workload, work_s


class JointServer:
    """A server with the speed of all engines, and its open requests."""

    __slots__ = ('_now', '_queue', '_remaining_s', '_speed', 'good_count')

    def __init__(self, speed: float) -> None:
        """Start idle; ``speed`` is the number of engines."""
        self._speed = speed
        self._now: float = 0
        self._queue: list[tuple[float, int]] = []
        self._remaining_s: dict[int, float] = {}
        self.good_count = 0

    def add(self, arrival: Arrival) -> None:
        """Add a request and drop the longest ones until none would be late."""
        self.advance(arrival.at)
        self._remaining_s[arrival.number] = work_s(
            arrival.prompt, arrival.output
        )
        heapq.heappush(self._queue, (arrival.due_at, arrival.number))
        while self._has_late_request():
            longest = max(self._remaining_s, key=self._remaining_s.__getitem__)
            self._remaining_s.pop(longest)

    def advance(self, until: float) -> None:
        """Work on the requests that are due first until a time."""
        capacity_s = (until - self._now) * self._speed
        self._now = until
        while self._queue and capacity_s > 0:
            _, number = self._queue[0]
            remaining_s = self._remaining_s.get(number, 0)
            if remaining_s > capacity_s:
                self._remaining_s[number] = remaining_s - capacity_s
                return
            capacity_s -= remaining_s
            heapq.heappop(self._queue)
            self.good_count += self._remaining_s.pop(number, None) is not None

    def _has_late_request(self) -> bool:
        total: float = 0
        for due_at, number in sorted(self._queue):
            total += self._remaining_s.get(number, 0)
            ready_at = self._now + total / self._speed
            if number in self._remaining_s and ready_at > due_at:
                return True
        return False


def count_bound(workload: Workload, trace: Sequence[Arrival]) -> int:
    """Return the upper bound on requests of the trace answered in time."""
    server = JointServer(workload.engine_count)
    for arrival in trace:
        server.add(arrival)
    server.advance(trace[-1].due_at + 1)
    return server.good_count
