"""The engines of a service, compared with the typical one among them."""

import dataclasses
import math
import statistics
from collections.abc import Iterator, Sequence
from typing import Final, final

from verbenahall.engine_speeds._trackers import MIN_SAMPLES, RatioTracker
from verbenahall.roster import Incarnation

#: Ratio of the speeds of two engines from which engines are told apart.
_MIN_RATIO: Final = 1.2
#: Standard errors by which the values of two engines must be apart beyond
#: that ratio. Among many equal engines some seem to differ by chance.
_ERRORS: Final = 2.5
#: Measurements from which an engine counts for the typical one. With as many
#: as for other purposes, only fast engines would count at first, since slow
#: ones are used less.
_TYPICAL_SAMPLES: Final = 2
#: Interval in seconds at which engines are compared with each other. With
#: thousands of engines it takes milliseconds.
_COMPARE_INTERVAL_S: Final = 0.5
#: Time in seconds for which an estimate is used, unless there is a measurement.
#: Each placement needs those of all decode engines.
_CACHED_S: Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedFactor:
    """Long-term factors of an engine, as instances report them to each other.

    A factor of 0 is unknown.
    """

    name: str
    born: int
    prefill: float
    step: float


@final
class _Measured:
    """One kind of duration at an engine, apart and close to full."""

    __slots__ = ('usual', 'crowded', '_cached')

    def __init__(self) -> None:
        """Start without measurements."""
        self.usual = RatioTracker()
        self.crowded: RatioTracker | None = None
        #: Until when an estimate is used, whether close to full, and its value.
        self._cached: tuple[float, bool, float] = (-math.inf, False, 0)

    @property
    def is_known(self) -> bool:
        """Whether there are enough measurements to rely on."""
        return self.usual.is_known

    def observe(
        self, ratio: float, share: float, now: float, *, crowded: bool
    ) -> None:
        self._cached = (-math.inf, False, 0)
        if not crowded:
            self.usual.observe(ratio, share, now)
            return
        if self.crowded is None:
            self.crowded = RatioTracker()
        usual = math.exp(self.usual.long_term)
        self.crowded.observe(ratio / usual, share, now)

    def estimate(self, now: float, *, crowded: bool) -> float:
        until, was_crowded, value = self._cached
        if now < until and crowded is was_crowded:
            return value
        if crowded and self.crowded is not None:
            value = self.usual.long_term + self.crowded.estimate(now)
        else:
            value = self.usual.estimate(now)
        self._cached = (now + _CACHED_S, crowded, value)
        return value


@final
class Record:
    """What was measured at one incarnation of an engine."""

    __slots__ = ('prefill', 'step')

    def __init__(self) -> None:
        """Start without measurements."""
        self.prefill = _Measured()
        self.step = _Measured()

    @property
    def is_measured_in_both(self) -> bool:
        """Whether both prefills and steps were measured."""
        return self.prefill.is_known and self.step.is_known


@final
class Group:
    """The engines of one service, and the typical one among them.

    ``typical_prefill`` and ``typical_step`` are the medians of the long-term
    values, ``scale_offset`` that of the differences between both for engines
    that were measured in both roles.
    """

    __slots__ = (
        'records',
        'uneven',
        'typical_prefill',
        'typical_step',
        'scale_offset',
        'compared_at',
    )

    def __init__(self) -> None:
        """Start without engines."""
        self.records: dict[Incarnation, Record] = {}
        self.uneven = False
        self.typical_prefill: float = 0
        self.typical_step: float = 0
        self.scale_offset: float = 0
        self.compared_at = -math.inf

    def compare(self, now: float) -> None:
        """Compare the engines with each other, at most every half second."""
        if now - self.compared_at < _COMPARE_INTERVAL_S:
            return
        self.compared_at = now
        records = self.records.values()
        prefills = [one.prefill.usual for one in records]
        steps = [one.step.usual for one in records]
        self.typical_prefill = _find_typical(prefills, self.typical_prefill)
        self.typical_step = _find_typical(steps, self.typical_step)
        # Steps take longer with more streams, also at equally fast engines.
        self.uneven = _is_uneven(prefills, self.typical_prefill)
        offsets = [
            self.rate_prefill(one) - self.rate_step(one)
            for one in records
            if one.is_measured_in_both
        ]
        self.scale_offset = statistics.median(offsets) if offsets else 0

    def rate_prefill(self, record: Record) -> float:
        """Return the long-term prefill time relative to the typical engine."""
        return record.prefill.usual.long_term - self.typical_prefill

    def rate_step(self, record: Record) -> float:
        """Return the long-term step time relative to the typical engine."""
        return record.step.usual.long_term - self.typical_step

    def estimate_prefill(
        self, record: Record, now: float, *, crowded: bool
    ) -> float:
        """Return the current factor on prefill times.

        For an engine that has only decoded it is the one on its steps.
        """
        if not record.prefill.usual.samples:
            return self.estimate_step(record, now, crowded=crowded)
        value = record.prefill.estimate(now, crowded=crowded)
        return math.exp(value - self.typical_prefill)

    def estimate_step(
        self, record: Record, now: float, *, crowded: bool
    ) -> float:
        """Return the current factor on step times, 1 if it is unknown."""
        if not record.step.usual.samples:
            return 1
        value = record.step.estimate(now, crowded=crowded)
        return math.exp(value - self.typical_step)


def use_report(group: Group, record: Record, reported: ReportedFactor) -> None:
    """Use the factors of a peer for what has not been measured enough here."""
    if not group.uneven:
        group.compared_at = -math.inf
    if reported.prefill and not record.prefill.is_known:
        record.prefill.usual = _make_tracker(
            reported.prefill, group.typical_prefill
        )
    if reported.step and not record.step.is_known:
        record.step.usual = _make_tracker(reported.step, group.typical_step)


def _make_tracker(factor: float, typical: float) -> RatioTracker:
    return RatioTracker(typical + math.log(factor))


def _find_typical(trackers: Sequence[RatioTracker], before: float) -> float:
    """Return the median of what was measured here.

    Values that other instances have reported are relative to it and move
    along. They take no part: only engines unlike the typical one are reported.
    """
    measured = [
        one.long_term for one in trackers if one.measured >= _TYPICAL_SAMPLES
    ]
    typical = statistics.median(measured) if measured else before
    for tracker in trackers:
        if tracker.samples and not tracker.measured:
            tracker.long_term += typical - before
    return typical


def _is_uneven(trackers: Sequence[RatioTracker], typical: float) -> bool:
    known = [one for one in trackers if one.is_known]
    if not known:
        return False
    slowest = max(one.long_term - _ERRORS * one.error for one in known)
    fastest = min(one.long_term + _ERRORS * one.error for one in known)
    if any(one.measured < MIN_SAMPLES for one in known):
        # Reported engines differ from the typical one, which is not reported.
        slowest = max(slowest, typical)
        fastest = min(fastest, typical)
    return slowest - fastest > math.log(_MIN_RATIO)


def list_differing(group: Group) -> Iterator[ReportedFactor]:
    """Yield the engines that differ from the typical one by more than 1.2."""
    if not group.uneven:
        return
    for (name, born), record in group.records.items():
        prefill: float = 0
        step: float = 0
        if record.prefill.is_known:
            prefill = math.exp(group.rate_prefill(record))
        if record.step.is_known:
            step = math.exp(group.rate_step(record))
        if _differs(prefill) or _differs(step):
            yield ReportedFactor(name, born, prefill, step)


def _differs(factor: float) -> bool:
    """Whether a known factor is that of an engine unlike the typical one."""
    return factor > _MIN_RATIO or 0 < factor < 1 / _MIN_RATIO
