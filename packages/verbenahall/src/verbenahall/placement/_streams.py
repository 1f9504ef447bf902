"""Open streams at decode engines, and when an engine has a free slot.

An engine decodes as many streams at a time as it has slots. The next one to
start continues from a KV cache handle if there is one, otherwise it is the most
urgent one. Streams that are less urgent than a new one are preempted for it.
"""

import dataclasses
import heapq
import math
from collections.abc import Collection, Iterable
from typing import Final, final

#: Time constant of the rate of tokens, in seconds: long enough to include the
#: pauses between short streams, short enough to follow a burst.
_RATE_TIME_S: Final = 1.5
#: Wait for a slot that more urgent streams take again and again, in seconds.
_NO_SLOT_S: Final = 60.0
#: Least share of a stream's expected length that it is assumed to go on, since
#: the expected number of tokens is only an estimate.
_MIN_REMAINING_SHARE: Final = 0.1


@final
@dataclasses.dataclass(slots=True, eq=False)
class OpenStream:
    """A stream at an engine, from the choice of the engine to its end.

    ``tokens`` is the expected number of output tokens, ``opened_at`` when the
    engine was chosen. ``has_handle`` is whether it continues from a KV cache
    handle. ``started_at`` is when its first event came, None before. ``gap_s``
    is its longest acceptable pause in seconds, 0 if there is no limit.
    """

    priority: int
    tokens: int
    opened_at: float
    has_handle: bool = False
    started_at: float | None = None
    gap_s: float = 0

    def goes_before(self, other: 'OpenStream') -> bool:
        """Whether this stream keeps or gets a slot before a new one."""
        if self.started_at is None and self.has_handle != other.has_handle:
            return self.has_handle
        return self.priority <= other.priority


@final
class _TokenRate:
    """The tokens a second of the streams that were opened lately."""

    __slots__ = ('_tokens', '_updated_at')

    def __init__(self) -> None:
        self._tokens: float = 0
        self._updated_at: float = 0

    def add(self, tokens: int, now: float) -> None:
        self._tokens = self._decay(now) + tokens
        self._updated_at = now

    def read(self, now: float) -> float:
        return self._decay(now) / _RATE_TIME_S

    def _decay(self, now: float) -> float:
        age_s = max(0, now - self._updated_at)
        return self._tokens * math.exp(-age_s / _RATE_TIME_S)


@final
class StreamTable:
    """The open streams that this process knows, by engine and number."""

    __slots__ = ('_rates', '_streams')

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: dict[str, dict[int, OpenStream]] = {}
        self._rates: dict[str, dict[int, _TokenRate]] = {}

    def add(self, engine: str, number: int, stream: OpenStream) -> None:
        """Add an open stream under a number."""
        self._streams.setdefault(engine, {})[number] = stream
        if stream.started_at is None:
            rates = self._rates.setdefault(engine, {})
            rate = rates.setdefault(stream.priority, _TokenRate())
            rate.add(stream.tokens, stream.opened_at)

    def remove(self, engine: str, number: int) -> OpenStream | None:
        """Remove a stream and return it; None if there is none."""
        streams = self._streams.get(engine, {})
        stream = streams.pop(number, None)
        if not streams:
            self._streams.pop(engine, None)
        return stream

    def retain(self, names: Collection[str]) -> None:
        """Remove the rates of engines that are no longer listed."""
        for name in self._rates.keys() - names:
            self._rates.pop(name)

    def find_slot_wait(
        self,
        engine: str,
        stream: OpenStream,
        slots: int,
        open_count: int,
        token_s: float,
    ) -> float:
        """Return the time until a new stream gets a slot, in seconds.

        ``open_count`` is the number of streams of all instances at the engine.
        Those known here are taken as a sample of them. ``token_s`` is the time
        of a token.
        """
        known = self._streams.get(engine, {})
        left_slots: float = slots
        if known and open_count > len(known):
            left_slots = max(1, slots * len(known) / open_count)
        if self.has_more_urgent(engine, stream.priority):
            urgent_tokens_s = self._count_urgent_tokens_s(engine, stream)
            left_slots -= urgent_tokens_s * token_s
        return self._wait_for_slot(
            known.values(), stream, round(left_slots), token_s
        )

    def find_shortest_gap(self, engine: str) -> float:
        """Return the shortest pause that a stream here accepts, in seconds.

        It is infinite if none of the streams at the engine has a limit.
        """
        streams = self._streams.get(engine, {}).values()
        return min(
            (one.gap_s for one in streams if one.gap_s), default=math.inf
        )

    def has_more_urgent(self, engine: str, priority: int) -> bool:
        """Whether an engine has had streams that preempt this priority."""
        rates = self._rates.get(engine)
        return bool(rates) and priority > min(rates)

    def _wait_for_slot(
        self,
        known: Collection[OpenStream],
        stream: OpenStream,
        slots: int,
        token_s: float,
    ) -> float:
        if slots < 1:
            return _NO_SLOT_S
        if len(known) < slots:
            return 0
        ahead = [
            one
            for one in known
            if one.priority >= stream.priority and one.goes_before(stream)
        ]
        if len(ahead) < slots:
            return 0
        return _simulate_wait(ahead, slots, token_s, stream.opened_at)

    def _count_urgent_tokens_s(self, engine: str, stream: OpenStream) -> float:
        """Return the rate of tokens in streams that preempt a new one.

        It is in tokens a second: with the time of a token, the number of slots
        that these streams occupy in the mean.
        """
        return sum(
            rate.read(stream.opened_at)
            for priority, rate in self._rates[engine].items()
            if priority < stream.priority
        )


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
