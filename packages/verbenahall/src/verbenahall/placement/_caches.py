"""Estimates which prompt parts an engine has in its prefix cache."""

import collections
from collections.abc import Sequence
from typing import Final, final

from verbenahall.placement._messages import Part

#: Share of an engine's KV memory that is assumed to hold cached parts; running
#: requests occupy the rest.
_CACHE_SHARE: Final = 0.7


@final
class PrefixCache:
    """The prompt parts last sent to one engine, in LRU order."""

    __slots__ = ('_parts', '_cached_tokens', '_capacity_tokens')

    def __init__(self, kv_tokens: int) -> None:
        """Start empty; ``kv_tokens`` is the size of the engine's KV memory."""
        self._parts: collections.OrderedDict[str, int]
        self._parts = collections.OrderedDict()
        self._cached_tokens = 0
        self._capacity_tokens = int(kv_tokens * _CACHE_SHARE)

    def count_cached_tokens(self, parts: Sequence[Part]) -> int:
        """Return the length in tokens of the cached prefix of a prompt.

        A part counts only if all parts before it are cached, too.
        """
        cached_tokens = 0
        for part in parts:
            if part.identity not in self._parts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def record(self, parts: Sequence[Part]) -> None:
        """Record the parts of a prompt that the engine has prefilled."""
        for part in reversed(parts):
            self._cached_tokens += part.tokens - self._parts.pop(
                part.identity, 0
            )
            self._parts[part.identity] = part.tokens
        while self._cached_tokens > self._capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._cached_tokens -= tokens
