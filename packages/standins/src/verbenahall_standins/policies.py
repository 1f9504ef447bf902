"""The simple policies that the bench compares ours with."""

import itertools
from collections.abc import Mapping, Sequence
from typing import Final

from verbenahall.fleet import Role
from verbenahall_standins import cost
from verbenahall_standins.simulation import Engine, Loads, Outcome
from verbenahall_standins.traces import Arrival

_FULL_BATCH: Final = 32
_TYPICAL_CONTEXT: Final = 1000
#: The reactive policy acts when prefill's share leaves this band around the
#: share of engines that are in the prefill role.
_BAND: Final = 0.1
_WINDOW_S: Final = 5.0


class Naive:
    """Round robin over all engines, roles as they are."""

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
        """Take the next engine."""
        return engines[next(self._numbers) % len(engines)].name

    def finish(self, instance: int, outcome: Outcome, now: float) -> None:
        """Learn nothing."""

    def report(self, loads: Loads, now: float) -> None:
        """Learn nothing."""

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change no role."""
        return {}


class LeastLoad(Naive):
    """The least reported load, roles as they are."""

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
        """Take the engine with the least reported load, the first of equals."""
        return min(engines, key=self._read_load).name

    def report(self, loads: Loads, now: float) -> None:
        """Keep the reports."""
        self._loads = loads

    def _read_load(self, engine: Engine) -> int:
        return sum(self._loads.get(engine.name, ()))


class Reactive(LeastLoad):
    """Least load within roles that follow the recent mix at once.

    Each second one engine changes when prefill's share of the last five
    seconds' work has left the share of prefill engines by a tenth.
    """

    def __init__(self) -> None:
        """Start with no arrivals seen."""
        super().__init__()
        self._recent: list[tuple[float, float, float]] = []

    def choose(
        self,
        instance: int,
        arrival: Arrival,
        engines: Sequence[Engine],
        now: float,
    ) -> str:
        """Keep long prompts on prefill engines and the rest off them."""
        prefill_s = cost.prefill_s(arrival.prompt)
        decode_s = arrival.output / _decode_rate()
        self._recent.append((now, prefill_s, decode_s))
        wanted = Role.PREFILL if prefill_s > decode_s else Role.MIXED
        fitting = [engine for engine in engines if engine.batch.role is wanted]
        return super().choose(instance, arrival, fitting or engines, now)

    def plan(
        self,
        engines: Sequence[Engine],
        now: float,
    ) -> Mapping[str, Role]:
        """Change one engine towards the recent mix."""
        oldest = now - _WINDOW_S
        self._recent = [row for row in self._recent if row[0] > oldest]
        prefilling = [engine for engine in engines if _is_prefill(engine)]
        others = [engine for engine in engines if engine not in prefilling]
        off = self._find_share() - len(prefilling) / len(engines)
        if off < -_BAND and prefilling:
            return {prefilling[0].name: Role.MIXED}
        if off > _BAND and len(others) > 1:
            return {others[0].name: Role.PREFILL}
        return {}

    def _find_share(self) -> float:
        """Return prefill's share of the recent work."""
        prefill_s = sum(row[1] for row in self._recent)
        decode_s = sum(row[2] for row in self._recent)
        return prefill_s / (prefill_s + decode_s or 1)


def _is_prefill(engine: Engine) -> bool:
    return (engine.wanted or engine.batch.role) is Role.PREFILL


def _decode_rate() -> float:
    """Return tokens a second of one engine that only decodes."""
    context = _FULL_BATCH * _TYPICAL_CONTEXT
    return _FULL_BATCH / cost.step_s(_FULL_BATCH, context)
