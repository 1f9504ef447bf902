"""A bounded history of verdicts."""

import collections
from collections.abc import Iterator
from typing import Final

from verbenahall.settings._messages import Verdict

#: Bound on the number of kept verdicts.
MAX_VERDICTS: Final = 256
#: Bound on the number of paths in all kept verdicts together.
MAX_PATHS: Final = 4096


class History:
    """The latest verdicts, oldest first, bounded in number and in paths.

    Both bounds depend on the records only, so that every instance keeps the
    same verdicts. The bound on paths limits the memory that publications
    with thousands of paths take.
    """

    __slots__ = ('_paths', '_verdicts')

    def __init__(self) -> None:
        """Create an empty history."""
        self._verdicts: collections.deque[Verdict] = collections.deque()
        self._paths = 0

    def __iter__(self) -> Iterator[Verdict]:
        """Iterate over the verdicts, oldest first."""
        return iter(self._verdicts)

    def append(self, verdict: Verdict) -> None:
        """Add a verdict and drop old ones; the newest is always kept."""
        self._verdicts.append(verdict)
        self._paths += len(verdict.paths)
        while self._exceeds_bounds() and len(self._verdicts) > 1:
            self._paths -= len(self._verdicts.popleft().paths)

    def _exceeds_bounds(self) -> bool:
        return self._paths > MAX_PATHS or len(self._verdicts) > MAX_VERDICTS
