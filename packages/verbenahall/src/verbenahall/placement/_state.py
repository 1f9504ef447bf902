"""The state that placement keeps between requests."""

from collections.abc import Collection
from typing import Final, final

from verbenahall.catalog import Service
from verbenahall.placement._caches import PrefixCache
from verbenahall.placement._failures import FailureRates
from verbenahall.placement._load_table import LoadTable
from verbenahall.placement._messages import Work
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

    def record_step_time(self, engine: str, step_s: float, now: float) -> None:
        """Record the time between two tokens in a stream that has ended."""
        self.find_step_time(engine).observe(step_s, now)
        self.token_times.record(engine, step_s)

    def retain(self, names: Collection[str]) -> None:
        """Remove the state of engines that are no longer listed."""
        for name in self._steps.keys() - names:
            self._steps.pop(name)
        self.token_times.retain(names)
        self.load_table.streams.retain(names)
        self.failures.retain(names)
        for key in tuple(self._caches):
            if key[0] not in names:
                self._caches.pop(key)

    def record_prefill_time(
        self, missing: int, cached: int, seconds: float
    ) -> None:
        """Update the prefill speed with a prefill that waited for no other."""
        if missing >= _MIN_TIMED_TOKENS and seconds > 0:
            self.prefill_speed.update(missing, cached, seconds)
