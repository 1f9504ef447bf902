"""An upper bound with perfect knowledge, worked out by arithmetic.

All engines are taken as one server of their joint speed whose batches are
always full, whose roles cost nothing to change and which may stop and resume
any request. It serves what is due first; where a request cannot be whole in
time it gives up the dearest of those that are open, which leaves most
requests whole. No policy on real engines reaches it.
"""

import heapq
from collections.abc import Sequence

from verbenahall_standins.traces import Arrival, Workload, work_s


class Server:
    """Requests open on the joint server: seconds of work left and due time."""

    __slots__ = ('_due', '_left', '_now', '_speed', 'good')

    def __init__(self, speed: float) -> None:
        """Start idle; ``speed`` is in engines."""
        self._speed = speed
        self._now: float = 0
        self._due: list[tuple[float, int]] = []
        self._left: dict[int, float] = {}
        self.good = 0

    def add(self, arrival: Arrival) -> None:
        """Take a request, then give up the dearest while any would be late."""
        self.advance(arrival.at)
        self._left[arrival.number] = work_s(arrival.prompt, arrival.output)
        heapq.heappush(self._due, (arrival.due, arrival.number))
        while self._is_any_late():
            dearest = max(self._left, key=self._left.__getitem__)
            self._left.pop(dearest)

    def advance(self, until: float) -> None:
        """Work, on what is due first, until a time."""
        room = (until - self._now) * self._speed
        self._now = until
        while self._due and room > 0:
            _, number = self._due[0]
            left = self._left.get(number, 0)
            if left > room:
                self._left[number] = left - room
                return
            room -= left
            heapq.heappop(self._due)
            self.good += self._left.pop(number, None) is not None

    def _is_any_late(self) -> bool:
        total: float = 0
        for due, number in sorted(self._due):
            total += self._left.get(number, 0)
            ready_at = self._now + total / self._speed
            if number in self._left and ready_at > due:
                return True
        return False


def count_bound(workload: Workload, trace: Sequence[Arrival]) -> int:
    """Return how many requests perfect knowledge would answer in time."""
    server = Server(workload.engine_count)
    for arrival in trace:
        server.add(arrival)
    server.advance(trace[-1].due + 1)
    return server.good
