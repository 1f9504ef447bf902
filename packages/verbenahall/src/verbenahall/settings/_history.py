"""The latest verdicts."""

import collections
from collections.abc import Iterator
from typing import Final

from verbenahall.settings._messages import Verdict

MAX_VERDICTS: Final = 256
#: Paths named by all kept verdicts together.
MAX_PATHS: Final = 4096


class History:
    """Verdicts, oldest first, bounded in number and in paths.

    Both bounds depend on the records alone, so every instance keeps the same
    verdicts, and a publication of a thousand paths does not stay for long.
    """

    __slots__ = ('_paths', '_verdicts')

    def __init__(self) -> None:
        """Start without any."""
        self._verdicts: collections.deque[Verdict] = collections.deque()
        self._paths = 0

    def __iter__(self) -> Iterator[Verdict]:
        """Go through the verdicts, oldest first."""
        return iter(self._verdicts)

    def append(self, verdict: Verdict) -> None:
        """Add one verdict; the last one is always kept."""
        self._verdicts.append(verdict)
        self._paths += len(verdict.paths)
        while self._exceeds_bounds() and len(self._verdicts) > 1:
            self._paths -= len(self._verdicts.popleft().paths)

    def _exceeds_bounds(self) -> bool:
        return self._paths > MAX_PATHS or len(self._verdicts) > MAX_VERDICTS
