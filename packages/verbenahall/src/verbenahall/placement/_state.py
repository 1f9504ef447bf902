"""What placement remembers between requests."""

import random
from typing import Final, final

from verbenahall.placement._caches import PartCache
from verbenahall.placement._ledger import Ledger
from verbenahall.roster import Entry

#: First guess of how fast a prompt is read, in tokens a second, until reads
#: were timed. Too low a guess only spreads the first requests.
_FIRST_READ_RATE: Final = 60_000.0
#: Weight of one timed read.
_LEARNING: Final = 0.05
#: Reads shorter than this tell more about the network, in tokens.
_LEAST_TIMED: Final = 1000


@final
class PlacementState:
    """Open work, kept parts, and the speed at which prompts are read."""

    __slots__ = ('ledger', 'data_centre', 'random', 'read_rate', '_caches')

    def __init__(self, data_centre: str, source: random.Random) -> None:
        """Start without knowledge, in a data centre."""
        self.ledger = Ledger()
        self.data_centre = data_centre
        self.random = source
        self.read_rate = _FIRST_READ_RATE
        self._caches: dict[tuple[str, int], PartCache] = {}

    def cache_of(self, engine: Entry, kv_tokens: int) -> PartCache:
        """Return what an engine is thought to keep since its start."""
        key = (engine.name, engine.born)
        cache = self._caches.get(key)
        if cache is None:
            cache = PartCache(kv_tokens)
            self._caches[key] = cache
        return cache

    def forget(self, name: str) -> None:
        """Forget an engine that is gone."""
        for key in [known for known in self._caches if known[0] == name]:
            self._caches.pop(key)

    def learn_read(self, tokens: int, seconds: float) -> None:
        """Learn from a read of so many tokens that waited for no other."""
        if tokens >= _LEAST_TIMED and seconds > 0:
            self.read_rate += _LEARNING * (tokens / seconds - self.read_rate)
