"""What placement remembers between requests."""

from collections.abc import Collection
from typing import Final, final

from verbenahall.catalog import Service
from verbenahall.placement._caches import PrefixCache
from verbenahall.placement._ledger import Ledger
from verbenahall.placement._messages import Work
from verbenahall.placement._speeds import DecayingAverage, PrefillSpeed
from verbenahall.roster import Entry

#: Reads shorter than this tell more about the network, in tokens.
_MIN_TIMED_TOKENS: Final = 400
#: First guess of the time that a generator takes to go on with a prompt that
#: another engine has read, in seconds: a round trip, a move and a step.
_HANDOVER_S: Final = 0.01


@final
class PlacementState:
    """Open work, kept parts, and how fast engines read and generate."""

    __slots__ = (
        'caches_complete',
        'ledger',
        'read_speed',
        'handover',
        '_caches',
        '_steps',
    )

    def __init__(self) -> None:
        """Start without knowledge."""
        #: Whether all that engines have read since long was noted here.
        self.caches_complete = False
        self.ledger = Ledger()
        self.read_speed = PrefillSpeed()
        #: From the send of a prompt that was read to its first event.
        self.handover = DecayingAverage(_HANDOVER_S)
        self._caches: dict[tuple[str, int], PrefixCache] = {}
        self._steps: dict[str, DecayingAverage] = {}

    def without_load(self) -> 'PlacementState':
        """Return a state that shares what was learned, with nothing open.

        A scheduler counts the load of its group by itself. Added to what
        peers tell of the same sends, each of them would count twice.
        """
        other = PlacementState()
        other.read_speed = self.read_speed
        other.handover = self.handover
        other._caches = self._caches
        other._steps = self._steps
        return other

    def cache_of(self, engine: Entry, kv_tokens: int) -> PrefixCache:
        """Return what an engine is thought to keep since its start."""
        key = (engine.name, engine.born)
        cache = self._caches.get(key)
        if cache is None:
            cache = PrefixCache(kv_tokens)
            self._caches[key] = cache
        return cache

    def note_kept(self, engine: Entry, work: Work, service: Service) -> None:
        """Note that an engine has read a prompt and keeps its parts."""
        if service.engine is not None:
            cache = self.cache_of(engine, service.engine.kv_tokens)
            cache.note(work.parts)

    def step_of(self, engine: str) -> DecayingAverage:
        """Return the step time seen at an engine."""
        return self._steps.setdefault(engine, DecayingAverage())

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the engines that are no longer listed."""
        for name in self._steps.keys() - names:
            self._steps.pop(name)
        for key in tuple(self._caches):
            if key[0] not in names:
                self._caches.pop(key)

    def learn_read(self, missing: int, cached: int, seconds: float) -> None:
        """Learn from a read that waited for no other."""
        if missing >= _MIN_TIMED_TOKENS and seconds > 0:
            self.read_speed.learn(missing, cached, seconds)
