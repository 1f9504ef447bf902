"""Bounded prefix cache of an engine stand-in, with its events."""

import collections
import itertools
import random
from typing import Any, Final

import xxhash

from verbenahall_standins import cost

_BLOCK_CHARACTERS: Final = cost.BLOCK_TOKENS * cost.CHARACTERS_PER_TOKEN
_MAX_BLOCKS: Final = cost.PREFIX_CACHE_TOKENS // cost.BLOCK_TOKENS
_MAX_EVENTS: Final = 4096


def hash_blocks(prompt: str) -> list[str]:
    """Return, for each full block, the hash of the text up to its end."""
    running = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt), _BLOCK_CHARACTERS):
        block = prompt[start : start + _BLOCK_CHARACTERS]
        if len(block) < _BLOCK_CHARACTERS:
            break
        running.update(block.encode())
        hashes.append(running.hexdigest())
    return hashes


class PrefixCache:
    """Cached blocks; the least recently used one is evicted first."""

    __slots__ = ('_blocks', '_event_numbers', '_events', '_lost_share', '_rng')

    def __init__(self, lost_share: float, seed: int) -> None:
        """Start empty; ``lost_share`` of the events are not reported."""
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_EVENTS,
        )
        self._lost_share = lost_share
        self._event_numbers = itertools.count(1)
        self._rng = random.Random(seed)

    def look_up_and_store(self, prompt: str, now: float) -> int:
        """Return the number of cached tokens, then cache the whole prompt."""
        hashes = hash_blocks(prompt)
        cached = itertools.takewhile(self._blocks.__contains__, hashes)
        count = sum(1 for _ in cached)
        for block in hashes:
            self._store(block, now)
        while len(self._blocks) > _MAX_BLOCKS:
            evicted, _ = self._blocks.popitem(last=False)
            self._emit_event('removed', evicted, now)
        return count * cost.BLOCK_TOKENS

    def clear(self) -> None:
        """Remove all blocks, as after a change of models."""
        self._blocks.clear()

    def list_events(self, after: int, until: float) -> list[dict[str, Any]]:
        """Return events numbered above ``after``, not newer than ``until``."""
        return [
            event
            for event in self._events
            if event['number'] > after and event['at'] <= until
        ]

    def _store(self, block: str, now: float) -> None:
        if block not in self._blocks:
            self._emit_event('stored', block, now)
        self._blocks[block] = None
        self._blocks.move_to_end(block)

    def _emit_event(self, kind: str, block: str, now: float) -> None:
        number = next(self._event_numbers)
        if self._rng.random() < self._lost_share:
            return
        self._events.append(
            {'number': number, 'kind': kind, 'hash': block, 'at': now},
        )
