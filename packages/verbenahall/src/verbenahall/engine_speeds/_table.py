"""Factors on the expected durations at each engine of a service."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, TypeVar, final

from verbenahall.engine_speeds._group import (
    Group,
    Record,
    ReportedFactor,
    list_differing,
    use_report,
)
from verbenahall.roster import Entry, Incarnation

#: Factors of other instances that are kept for engines not seen yet.
_MAX_REPORTED: Final = 4096
#: Maximum number of factors in one report.
MAX_FACTORS: Final = 16
#: Period in which factors are sent to peers, and the part of it in which
#: heartbeats carry them, in seconds. Every peer gets a heartbeat within the
#: latter. With 60 heartbeats a second and 40 bytes for a factor this is at most
#: 2.7 KB/s; in every heartbeat they would take 38 KB/s.
_REPORT_PERIOD_S: Final = 10.0
_REPORT_WINDOW_S: Final = 0.7

_Known = TypeVar('_Known')


@final
class EngineSpeeds:
    """How long engines take relative to the typical one of their service.

    A factor of 2 means twice the duration. All factors of a service are
    exactly 1 while the speeds of its engines differ by less than 1.2.

    ::

        speeds.record_prefill(engine, 1.8, share=1, crowded=False, now=now)
        seconds *= speeds.find_prefill_factor(engine, now, crowded=False)
    """

    __slots__ = ('_groups', '_reported', '_latest')

    def __init__(self) -> None:
        """Start without measurements."""
        self._groups: dict[str, Group] = {}
        self._reported: dict[Incarnation, ReportedFactor] = {}
        self._latest: float = 0

    def is_uneven(self, service: str) -> bool:
        """Whether engines of a service differ in speed."""
        return service in self._groups and self._groups[service].uneven

    def list_uneven(self) -> Sequence[str]:
        """Return the services whose engines differ in speed."""
        return [name for name, group in self._groups.items() if group.uneven]

    def record_prefill(
        self,
        engine: Entry,
        ratio: float,
        *,
        share: float,
        crowded: bool,
        now: float,
    ) -> None:
        """Record a prefill that took ``ratio`` times the common estimate.

        ``share`` is how much of the engine's time it had, ``crowded`` whether
        the engine was close to full.
        """
        group, record = self._find_record(engine)
        record.prefill.observe(ratio, share, now, crowded=crowded)
        self._latest = max(self._latest, now)
        group.compare(now)

    def record_step(
        self, engine: Entry, ratio: float, *, crowded: bool, now: float
    ) -> None:
        """Record a step that took ``ratio`` times the typical one."""
        group, record = self._find_record(engine)
        record.step.observe(ratio, 1, now, crowded=crowded)
        self._latest = max(self._latest, now)
        group.compare(now)

    def find_prefill_factor(
        self, engine: Entry, now: float | None = None, *, crowded: bool = False
    ) -> float:
        """Return the factor on the prefill time of the typical engine.

        For an engine that has only decoded it is the one on its steps.
        Without ``now`` it is the factor at the last measurement.
        """
        if not self._differs(engine):
            return 1
        group, record = self._find_record(engine)
        at = self._latest if now is None else now
        return group.estimate_prefill(record, at, crowded=crowded)

    def list_prefill_factors(
        self, engines: Iterable[Entry]
    ) -> Mapping[str, float]:
        """Return the factors on the common estimate, as last measured.

        Those of services whose engines are equally fast are left out.
        """
        return {
            one.name: self.find_prefill_factor(one)
            * self.find_level(one.service)
            for one in engines
            if self._differs(one)
        }

    def find_level(self, service: str) -> float:
        """Return how long the typical engine takes by the common estimate.

        It is 1 unless engines differ. The common estimate follows many
        measurements and is late when it turns out that they differ.
        """
        if not self.is_uneven(service):
            return 1
        return math.exp(self._groups[service].typical_prefill)

    def find_factors(
        self, engine: Entry, now: float, *, crowded: bool
    ) -> tuple[float, float]:
        """Return the factors on prefill and step times, both at once."""
        if not self._differs(engine):
            return (1, 1)
        group, record = self._find_record(engine)
        return (
            group.estimate_prefill(record, now, crowded=crowded),
            group.estimate_step(record, now, crowded=crowded),
        )

    def list_long_term(self, service: str) -> Mapping[str, float]:
        """Return the long-term factors of measured engines, by name.

        Those of engines that were measured only while they decoded are
        converted by engines that were measured in both roles. The table is
        empty while the engines of the service are equally fast.
        """
        if not self.is_uneven(service):
            return {}
        group = self._groups[service]
        factors: dict[str, float] = {}
        for (name, _), record in group.records.items():
            if record.prefill.is_known:
                factors[name] = math.exp(group.rate_prefill(record))
            elif record.step.is_known:
                factors[name] = math.exp(
                    group.rate_step(record) + group.scale_offset
                )
        return factors

    def export(self, now: float) -> Sequence[ReportedFactor]:
        """Return the factors to send to peers in a heartbeat at ``now``.

        They are those that differ by more than 1.2, at most ``MAX_FACTORS`` in
        each period, in turn. Most of the time there are none to send.
        """
        turn, phase_s = divmod(now, _REPORT_PERIOD_S)
        if phase_s >= _REPORT_WINDOW_S:
            return ()
        factors = [
            found
            for group in self._groups.values()
            for found in list_differing(group)
        ]
        if len(factors) <= MAX_FACTORS:
            return factors
        start = int(turn) * MAX_FACTORS % len(factors)
        turned = factors[start:] + factors[:start]
        return turned[:MAX_FACTORS]

    def adopt(self, factors: Iterable[ReportedFactor]) -> None:
        """Use the factors of a peer for engines hardly measured here yet."""
        for factor in factors:
            key = (factor.name, factor.born)
            is_known = any(
                key in group.records and group.records[key].prefill.is_known
                for group in self._groups.values()
            )
            if not is_known and len(self._reported) < _MAX_REPORTED:
                self._reported[key] = factor

    def retain(self, names: Collection[str]) -> None:
        """Remove the engines that are no longer listed."""
        for group in self._groups.values():
            group.records = _select(group.records, names)
        self._reported = _select(self._reported, names)

    def _differs(self, engine: Entry) -> bool:
        """Whether engines differ, also by what was reported of this one."""
        if self._reported and engine.incarnation in self._reported:
            self._find_record(engine)
        group = self._groups.get(engine.service)
        return group is not None and group.uneven

    def _find_record(self, engine: Entry) -> tuple[Group, Record]:
        group = self._groups.get(engine.service)
        if group is None:
            group = Group()
            self._groups[engine.service] = group
        record = group.records.get(engine.incarnation)
        reported = None
        if self._reported:
            reported = self._reported.pop(engine.incarnation, None)
        if record is None:
            record = Record()
            group.records[engine.incarnation] = record
        if reported is not None:
            use_report(group, record, reported)
            group.compare(self._latest)
        return group, record


def _select(
    table: Mapping[Incarnation, _Known], names: Collection[str]
) -> dict[Incarnation, _Known]:
    """Return the rows of the named engines."""
    kept = [key for key in table if key[0] in names]
    return {key: table[key] for key in kept}
