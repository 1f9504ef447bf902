"""Simple policies as baselines for the product's."""

import itertools
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall.fleet import Role
from verbenahall_standins import cost
from verbenahall_standins.simulation import Engine, Loads, Outcome
from verbenahall_standins.traces import Arrival

#: Sequences of a batch and tokens of a sequence, for the decode rate.
_FULL_BATCH: Final = 32
_TYPICAL_CONTEXT: Final = 1000
#: The reactive policy changes a role when the prefill share of the work
#: differs by more than this from the share of prefill engines.
_TOLERANCE: Final = 0.1
#: Arrivals of this many seconds count as recent.
_WINDOW_S: Final = 5.0


class RoundRobin:
    """Round robin over all engines, without role changes."""

    def __init__(self) -> None:
        """Start at the first engine."""
        self._numbers = itertools.count()

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Return the next engine."""
        return engines[next(self._numbers) % len(engines)].name

    def handle_finished(
        self, instance: int, outcome: Outcome, now: float
    ) -> None:
        """Ignore the outcome."""

    def handle_reports(self, loads: Loads, now: float) -> None:
        """Ignore the reports."""

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change no role."""
        return {}


class LeastLoad(RoundRobin):
    """Least reported load, without role changes."""

    def __init__(self) -> None:
        """Start without reports."""
        super().__init__()
        self._loads: Loads = {}

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Return the first engine with the least reported load."""
        return min(engines, key=self._get_load).name

    def handle_reports(self, loads: Loads, now: float) -> None:
        """Store the reports."""
        self._loads = loads

    def _get_load(self, engine: Engine) -> int:
        return sum(self._loads.get(engine.name, ()))


class Reactive(LeastLoad):
    """Least load within roles that follow the recent mix immediately.

    Each second one engine changes its role if the prefill share of the work
    of the last five seconds and the share of prefill engines differ by more
    than a tenth.
    """

    def __init__(self) -> None:
        """Start without arrivals."""
        super().__init__()
        self._recent: list[tuple[float, float, float]] = []

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Send prefill-heavy requests to prefill engines, others elsewhere."""
        prefill_s = cost.prefill_s(arrival.prompt)
        decode_s = arrival.output / _compute_decode_rate()
        self._recent.append((now, prefill_s, decode_s))
        fitting_role = Role.PREFILL if prefill_s > decode_s else Role.MIXED
        fitting = [
            engine for engine in engines if engine.batch.role is fitting_role
        ]
        return super().choose(instance, arrival, fitting or engines, now)

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change the role of at most one engine to match the recent mix."""
        oldest = now - _WINDOW_S
        self._recent = [row for row in self._recent if row[0] > oldest]
        prefilling = [engine for engine in engines if _is_prefill(engine)]
        others = [engine for engine in engines if engine not in prefilling]
        difference = self._compute_prefill_share() - len(prefilling) / len(
            engines
        )
        if difference < -_TOLERANCE and prefilling:
            return {prefilling[0].name: Role.MIXED}
        if difference > _TOLERANCE and len(others) > 1:
            return {others[0].name: Role.PREFILL}
        return {}

    def _compute_prefill_share(self) -> float:
        """Return the prefill share of the recent work."""
        prefill_s = sum(row[1] for row in self._recent)
        decode_s = sum(row[2] for row in self._recent)
        return prefill_s / (prefill_s + decode_s or 1)


def _is_prefill(engine: Engine) -> bool:
    return (engine.next_role or engine.batch.role) is Role.PREFILL


def _compute_decode_rate() -> float:
    """Return the tokens a second of an engine that only decodes."""
    context = _FULL_BATCH * _TYPICAL_CONTEXT
    return _FULL_BATCH / cost.step_s(_FULL_BATCH, context)
