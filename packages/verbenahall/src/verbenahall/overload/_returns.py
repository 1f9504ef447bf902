"""Decides when refused callers return, and recognizes those that do."""

import dataclasses
import random
from typing import Final, final

from verbenahall.overload._messages import Source, Turn

#: Most callers whose return times are recorded, which bounds the memory.
_MAX_RECORDS: Final = 4096
#: How long a record is kept, in seconds; callers have left by then.
_RETENTION_S: Final = 30.0
#: How much earlier than told a caller may return, in seconds, for differences
#: of clocks and of network delays.
_TOLERANCE_S: Final = 0.05
#: Shortest Retry-After of a refusal, in seconds.
_MIN_RETRY_S: Final = 0.2
#: Share of the drain rate that is given to returning callers. They are mostly
#: past their objective; if they got all of it, at twice the capacity no request
#: would be on time.
_RETURN_SHARE: Final = 0.25
#: Time between two returns while the drain rate is unknown, in seconds.
_UNKNOWN_SPACING_S: Final = 0.1
#: Range of the random factor of a Retry-After that is limited by its bounds.
_MIN_JITTER: Final = (1.0, 1.25)
_MAX_JITTER: Final = (0.75, 1.0)

_Key = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Return:
    """When a caller may return, and whether it has a place then."""

    at: float
    has_place: bool
    recorded_at: float


@final
class ReturnTimes:
    """The times at which refused callers may return, for one queue.

    Refused callers get successive times at the rate at which the queue can
    serve them in addition to new requests, so that they don't return together.
    """

    __slots__ = ('_next_at', '_records')

    def __init__(self) -> None:
        """Start without refused callers."""
        self._next_at = -float('inf')
        #: In the order in which they were recorded.
        self._records: dict[_Key, _Return] = {}

    def __len__(self) -> int:
        """Return the number of recorded callers."""
        return len(self._records)

    def classify(self, source: Source, now: float) -> Turn:
        """Return whether a request comes from a caller that was refused.

        A place is used up by the first request that returns at its time.
        """
        key = _make_key(source)
        record = self._records.get(key)
        if record is None or now - record.recorded_at > _RETENTION_S:
            return Turn.ORDINARY
        if now < record.at - _TOLERANCE_S:
            return Turn.EARLY
        self._records.pop(key)
        return Turn.RETURNED if record.has_place else Turn.ORDINARY

    def schedule(
        self,
        source: Source,
        wait_s: float,
        max_s: float,
        rate: float | None,
        now: float,
        rng: random.Random,
    ) -> float:
        """Return after how many seconds a refused caller should return.

        ``wait_s`` is the time in which the queue ahead of it drains, ``rate``
        how many requests a second the queue admits, None if unknown, and
        ``max_s`` the longest time that leaves the caller enough to be served.
        A caller that has returned early keeps the time that it was given.
        """
        key = _make_key(source)
        known = self._records.get(key)
        if known is not None and known.at > now:
            return max(_MIN_RETRY_S, known.at - now)
        spacing_s = 1 / (rate * _RETURN_SHARE) if rate else _UNKNOWN_SPACING_S
        free_at = max(self._next_at, now + max(_MIN_RETRY_S, wait_s))
        has_place = free_at - now <= max_s
        if has_place:
            self._next_at = free_at + spacing_s
            latest_s = min(free_at + spacing_s - now, max_s)
            retry_s = rng.uniform(free_at - now, latest_s)
        else:
            retry_s = max(
                _MIN_RETRY_S * rng.uniform(*_MIN_JITTER),
                max_s * rng.uniform(*_MAX_JITTER),
            )
        if source.fingerprint:
            self._record(key, _Return(now + retry_s, has_place, now))
        return retry_s

    def _record(self, key: _Key, record: _Return) -> None:
        self._records.pop(key, None)
        self._records[key] = record
        while self._records:
            oldest = next(iter(self._records))
            age_s = record.recorded_at - self._records[oldest].recorded_at
            if len(self._records) <= _MAX_RECORDS and age_s <= _RETENTION_S:
                return
            self._records.pop(oldest)


def _make_key(source: Source) -> _Key:
    return source.fingerprint, source.caller
