"""Demand that one instance counts by what it sends."""

import math
from collections.abc import Mapping
from typing import Final, final

from verbenahall.capacity._messages import Demand, Demands
from verbenahall.catalog import Service
from verbenahall.placement import PlacementState, Plan, Work

#: Time constant of the rates, in seconds: longer than the time between two
#: prompts of an instance, shorter than the boot of an engine.
SMOOTHING_S: Final = 2.0
#: Rates of a service below this are left out, in engine-seconds per second.
#: After the last prefill the rate never becomes exactly 0.
_MIN_PREFILL_S: Final = 0.0005


@final
class _DecayingRate:
    """Prefills sent to a service, with exponentially decaying weights."""

    __slots__ = ('_count', '_seconds', '_updated_at')

    def __init__(self, now: float) -> None:
        self._count: float = 0
        self._seconds: float = 0
        self._updated_at = now

    def add(self, seconds: float, now: float) -> None:
        self._decay(now)
        self._count += 1
        self._seconds += seconds

    def read(self, now: float) -> tuple[float, float]:
        """Return the engine-seconds and the prefills per second."""
        self._decay(now)
        return self._seconds / SMOOTHING_S, self._count / SMOOTHING_S

    def _decay(self, now: float) -> None:
        age_s = max(0, now - self._updated_at)
        factor = math.exp(-age_s / SMOOTHING_S)
        self._count *= factor
        self._seconds *= factor
        self._updated_at = now


@final
class DemandMeter:
    """Counts the prefills that this instance sends, by service.

    An attempt that is repeated counts again: it takes engine time again.
    """

    __slots__ = ('_placement', '_rates')

    def __init__(self, placement: PlacementState) -> None:
        """Start without any prefill; ``placement`` estimates their time."""
        self._placement = placement
        self._rates: dict[str, _DecayingRate] = {}

    def record_prefill(self, service: str, seconds: float, now: float) -> None:
        """Record that a prefill of ``seconds`` engine time is sent."""
        rate = self._rates.get(service)
        if rate is None:
            rate = _DecayingRate(now)
            self._rates[service] = rate
        rate.add(seconds, now)

    def record_plan(
        self, service: Service, plan: Plan, work: Work, now: float
    ) -> None:
        """Record the prefill of a plan that is carried out now.

        Nothing is counted for services that are not scaled.
        """
        if service.scaling:
            cached = work.prompt_tokens - plan.missing
            seconds = self._placement.prefill_speed.predict_s(
                plan.missing, cached
            )
            self.record_prefill(service.name, seconds, now)

    def read(self, streams: Mapping[str, int], now: float) -> Demands:
        """Return the demand by service; ``streams`` are the open ones."""
        demands = {
            service: Demand(streams=count)
            for service, count in streams.items()
            if count
        }
        for service, rate in tuple(self._rates.items()):
            prefill_s, prefills = rate.read(now)
            if prefill_s < _MIN_PREFILL_S:
                self._rates.pop(service)
            else:
                count = streams.get(service, 0)
                demands[service] = Demand(prefill_s, count, prefills)
        return demands
