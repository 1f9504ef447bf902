"""Open streams at decode engines, and when an engine has a free slot.

An engine decodes as many streams at a time as it has slots. The next one to
start continues from a KV cache handle if there is one, otherwise it is the most
urgent one. Streams that are less urgent than a new one are preempted for it.
"""

import dataclasses
import heapq
from collections.abc import Iterable
from typing import Final, final

#: Least share of a stream's expected length that it is assumed to go on, since
#: the expected number of tokens is only an estimate.
_MIN_REMAINING_SHARE: Final = 0.1


@final
@dataclasses.dataclass(slots=True, eq=False)
class OpenStream:
    """A stream at an engine, from the choice of the engine to its end.

    ``tokens`` is the expected number of output tokens. ``has_handle`` is
    whether it continues from a KV cache handle. ``started_at`` is when its
    first event came, None before.
    """

    priority: int
    tokens: int
    has_handle: bool = False
    started_at: float | None = None

    def goes_before(self, other: 'OpenStream') -> bool:
        """Whether this stream keeps or gets a slot before a new one."""
        if self.started_at is None and self.has_handle != other.has_handle:
            return self.has_handle
        return self.priority <= other.priority


@final
class StreamTable:
    """The open streams that this process knows, by engine and number."""

    __slots__ = ('_streams',)

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: dict[str, dict[int, OpenStream]] = {}

    def add(self, engine: str, number: int, stream: OpenStream) -> None:
        """Add an open stream under a number."""
        self._streams.setdefault(engine, {})[number] = stream

    def remove(self, engine: str, number: int) -> OpenStream | None:
        """Remove a stream and return it; None if there is none."""
        streams = self._streams.get(engine, {})
        stream = streams.pop(number, None)
        if not streams:
            self._streams.pop(engine, None)
        return stream

    def find_slot_wait(
        self,
        engine: str,
        stream: OpenStream,
        slots: int,
        open_count: int,
        token_s: float,
        now: float,
    ) -> float:
        """Return the time until a new stream gets a slot, in seconds.

        ``open_count`` is the number of streams of all instances at the engine.
        Those known here are taken as a sample of them. ``token_s`` is the time
        of a token.
        """
        known = self._streams.get(engine)
        if open_count < slots or not known:
            return 0
        ahead = [one for one in known.values() if one.goes_before(stream)]
        sampled_slots = max(1, round(slots * len(known) / open_count))
        return _simulate_wait(ahead, sampled_slots, token_s, now)


def _simulate_wait(
    ahead: Iterable[OpenStream], slots: int, token_s: float, now: float
) -> float:
    """Return when a slot is free after all streams ahead have got one."""
    ends: list[float] = []
    waiting_s: list[float] = []
    for stream in ahead:
        length_s = stream.tokens * token_s
        if stream.started_at is None:
            waiting_s.append(length_s)
        else:
            left_s = length_s - (now - stream.started_at)
            heapq.heappush(ends, max(left_s, length_s * _MIN_REMAINING_SHARE))
    for length_s in waiting_s:
        heapq.heappush(ends, _free_slot(ends, slots) + length_s)
    return _free_slot(ends, slots)


def _free_slot(ends: list[float], slots: int) -> float:
    """Remove the streams that end until a slot is free; return that time."""
    free_s: float = 0
    while len(ends) >= slots:
        free_s = heapq.heappop(ends)
    return free_s
