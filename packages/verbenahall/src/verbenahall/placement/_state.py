"""The state that placement keeps between requests."""

import dataclasses
from collections.abc import Collection
from typing import Final, final

from verbenahall.catalog import EngineTraits, Service
from verbenahall.engine_speeds import EngineSpeeds, SharedTime
from verbenahall.placement._caches import PrefixCache
from verbenahall.placement._failures import FailureRates
from verbenahall.placement._load_table import InFlight, LoadTable, Totals
from verbenahall.placement._messages import Plan, PrefillSample, Work
from verbenahall.placement._speeds import (
    DecayingAverage,
    PrefillSpeed,
    TokenTimes,
)
from verbenahall.roster import Entry

#: Shortest prefill that is used to estimate the speed, in tokens. The time of
#: shorter ones is mostly network time.
_MIN_TIMED_TOKENS: Final = 400
#: Initial time in seconds from the request to a decode engine to its first
#: event, for a prompt that another engine has prefilled: a round trip, a
#: transfer and a decode step.
_HANDOVER_S: Final = 0.01
#: Share of an engine's slots or memory above which its speed is measured apart.
CROWDED_SHARE: Final = 0.7
#: Least share of a prefill's time that is computation, for the speed of its
#: engine to be measured. The rest is network time, the same at all engines.
_MIN_COMPUTED_SHARE: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OpenPrefill:
    """A prefill that this process has sent; ``tokens_ahead`` were open there.

    ``shares_unknown`` is whether the engine had prefills of other processes,
    of which it is not known how long they stay open.
    """

    flight: InFlight
    tokens_ahead: int
    shares_unknown: bool


@final
class PlacementState:
    """Open work, cached prompt parts, and the speed of engines."""

    __slots__ = (
        'caches_complete',
        'failures',
        'load_table',
        'prefill_speed',
        'handover',
        'token_times',
        'engine_speeds',
        'shared_time',
        '_caches',
        '_steps',
    )

    def __init__(self) -> None:
        """Start with no open work and with initial estimates."""
        #: Whether all recent prefills of the engines were recorded here.
        self.caches_complete = False
        self.failures = FailureRates()
        self.load_table = LoadTable()
        self.prefill_speed = PrefillSpeed()
        #: Time from the decode request to its first event, in seconds.
        self.handover = DecayingAverage(_HANDOVER_S)
        self.token_times = TokenTimes()
        self.engine_speeds = EngineSpeeds()
        #: The share of engines that the prefills sent from here get.
        self.shared_time = SharedTime()
        self._caches: dict[tuple[str, int], PrefixCache] = {}
        self._steps: dict[str, DecayingAverage] = {}

    def copy_without_load(self) -> 'PlacementState':
        """Return a state with the same estimates and no open work.

        A scheduler counts the load of its group by itself. If the reports of
        peers about the same requests were added, each request would count
        twice.
        """
        other = PlacementState()
        other.prefill_speed = self.prefill_speed
        other.handover = self.handover
        other.token_times = self.token_times
        other.engine_speeds = self.engine_speeds
        other.failures = self.failures
        other._caches = self._caches
        other._steps = self._steps
        return other

    def find_cache(self, engine: Entry, kv_tokens: int) -> PrefixCache:
        """Return the estimated prefix cache of an engine since its start."""
        key = (engine.name, engine.born)
        cache = self._caches.get(key)
        if cache is None:
            cache = PrefixCache(kv_tokens)
            self._caches[key] = cache
        return cache

    def record_cached(
        self, engine: Entry, work: Work, service: Service
    ) -> None:
        """Record that an engine has prefilled a prompt and caches its parts."""
        if service.engine is not None:
            cache = self.find_cache(engine, service.engine.kv_tokens)
            cache.record(work.parts)

    def find_step_time(self, engine: str) -> DecayingAverage:
        """Return the estimated decode step time of an engine."""
        return self._steps.setdefault(engine, DecayingAverage())

    def record_step_time(
        self, engine: Entry, step_s: float, traits: EngineTraits, now: float
    ) -> None:
        """Record the time between two tokens in a stream that has ended."""
        self.engine_speeds.record_step(
            engine,
            step_s / self.token_times.typical_s,
            crowded=self.is_crowded(engine, traits),
            now=now,
        )
        self.find_step_time(engine.name).observe(step_s, now)
        self.token_times.record(engine.name, step_s)

    def is_crowded(self, engine: Entry, traits: EngineTraits) -> bool:
        """Whether an engine is close to full, by its slots or its memory."""
        totals = self.load_table.totals(engine.name)
        fill = measure_fill(totals.held_tokens, totals.streams, traits)
        return fill > CROWDED_SHARE

    def retain(self, names: Collection[str]) -> None:
        """Remove the state of engines that are no longer listed."""
        for name in self._steps.keys() - names:
            self._steps.pop(name)
        self.token_times.retain(names)
        self.load_table.streams.retain(names)
        self.failures.retain(names)
        self.engine_speeds.retain(names)
        for key in tuple(self._caches):
            if key[0] not in names:
                self._caches.pop(key)

    def open_prefill(
        self, engine: Entry, plan: Plan, now: float
    ) -> OpenPrefill:
        """Add a prefill that is sent to an engine to the load table."""
        ahead = self.load_table.totals(engine.name).prefill_tokens
        # In a large fleet only some peers report, but a scheduler has planned.
        is_sampled = self.load_table.scale != 1
        shares_unknown = self._count_others(engine.name) > 0 or (
            is_sampled and plan.ahead_s > 0
        )
        flight = self.load_table.open(
            engine.name, Totals(prefill_tokens=plan.missing)
        )
        self.shared_time.start(flight.number, engine.name, now)
        return OpenPrefill(flight, ahead, shares_unknown)

    def close_prefill(self, prefill: OpenPrefill, now: float) -> float:
        """Remove a prefill; return the share of the engine's time that it got.

        Returns 0 if it is not known, since peers have sent prefills to the
        engine before or meanwhile.
        """
        share = self.shared_time.end(prefill.flight.number, now)
        self.load_table.close(prefill.flight)
        has_others = self._count_others(prefill.flight.engine) > 0
        return 0 if prefill.shares_unknown or has_others else share

    def record_prefill_time(
        self,
        engine: Entry,
        sample: PrefillSample,
        traits: EngineTraits,
        now: float,
    ) -> None:
        """Update the speed of an engine, and the common one if it was alone."""
        if sample.missing < _MIN_TIMED_TOKENS or sample.seconds <= 0:
            return
        speeds = self.engine_speeds
        crowded = self.is_crowded(engine, traits)
        factor = speeds.find_prefill_factor(engine, now, crowded=crowded)
        start_s = self.prefill_speed.start_s
        predicted_s = self.prefill_speed.predict_s(
            sample.missing, sample.cached
        )
        # A prefill that shares the engine starts beside the others.
        expected_s = predicted_s + start_s * sample.share
        if predicted_s > _MIN_COMPUTED_SHARE * expected_s and sample.share > 0:
            speeds.record_prefill(
                engine,
                sample.seconds * sample.share / expected_s,
                share=sample.share,
                crowded=crowded,
                now=now,
            )
        if sample.alone:
            # The common estimate is that of the typical engine.
            self.prefill_speed.update(
                sample.missing, sample.cached, sample.seconds / factor
            )

    def _count_others(self, engine: str) -> int:
        """Return the prefill tokens of other processes open at an engine."""
        local = self.load_table.local_totals(engine).prefill_tokens
        return self.load_table.totals(engine).prefill_tokens - local


def measure_fill(held_tokens: int, streams: int, traits: EngineTraits) -> float:
    """Return the fill of an engine by memory or slots, whichever is higher."""
    return max(held_tokens / traits.kv_tokens, streams / traits.slots)
