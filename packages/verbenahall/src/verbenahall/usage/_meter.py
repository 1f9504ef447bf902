"""Counts the requests that start to run, by window and workspace."""

import collections
from collections.abc import Mapping
from typing import final

from verbenahall.clock import Clock

#: Requests by workspace.
Counts = Mapping[str, int]


@final
class UsageMeter:
    """Counts of this run of the process; they never decrease.

    Window ``k`` begins ``k * window_s`` seconds after the start of 1970. With
    a ``window_s`` of 0 nothing is counted.
    """

    __slots__ = ('counts', 'window_s', '_now')

    def __init__(self, window_s: float, now: Clock) -> None:
        """Count by the time ``now``, in seconds since 1970."""
        self.window_s = window_s
        self.counts: dict[int, collections.Counter[str]] = {}
        self._now = now

    def record_started(self, workspace: str, ago_s: float = 0) -> None:
        """Count a request that started to run ``ago_s`` seconds ago."""
        if not self.window_s:
            return
        window = int((self._now() - ago_s) // self.window_s)
        self.counts.setdefault(window, collections.Counter())[workspace] += 1

    def has_counts(self, window: int) -> bool:
        """Whether there are counts of a window or of an earlier one."""
        return any(counted <= window for counted in self.counts)

    def discard_before(self, window: int) -> None:
        """Discard the windows before ``window``."""
        for counted in tuple(self.counts):
            if counted < window:
                self.counts.pop(counted)
