"""The share of traffic that retries may take."""

import collections
import itertools
from typing import Final, final

from verbenahall.clock import Clock

_SHARE: Final = 0.2
_MOST_SAVED: Final = 20.0


@final
class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    Without it a fleet that fails under load is sent every request several
    times, and fails more. Each request saves ``share`` of a retry, up to
    ``most``; a retry takes one.
    """

    __slots__ = ('_share', '_most', '_saved')

    def __init__(
        self,
        share: float = _SHARE,
        most: float = _MOST_SAVED,
    ) -> None:
        """Start with a full bucket."""
        self._share = share
        self._most = most
        self._saved = most

    def earn(self) -> None:
        """Count a new request."""
        self._saved = min(self._most, self._saved + self._share)

    def spend(self, sends: int = 1) -> bool:
        """Take a retry of so many sends out; False when too few are left."""
        if self._saved < sends:
            return False
        self._saved -= sends
        return True


@final
class WindowBudget:
    """Bounds further sends within every window of time, as operators do.

    Within a window an instance may send again ``share`` times its requests of
    that window and ``slack`` more. A bucket that fills by the same share is
    empty after four sends, and a crash breaks forty streams in one second:
    most of them were given up while the window's bound was far away.
    """

    __slots__ = ('slack', '_share', '_window_s', '_now', '_requests', '_sends')

    def __init__(
        self,
        share: float,
        slack: float,
        window_s: float,
        now: Clock,
    ) -> None:
        """Start with an empty window."""
        self.slack = slack
        self._share = share
        self._window_s = window_s
        self._now = now
        self._requests: collections.deque[float] = collections.deque()
        self._sends: collections.deque[float] = collections.deque()

    def earn(self) -> None:
        """Count a new request."""
        self._requests.append(self._now())
        self._forget(self._requests)

    def spend(self, sends: int = 1) -> bool:
        """Take so many sends out of the window; False when too few are left."""
        self._forget(self._requests)
        self._forget(self._sends)
        allowed = self._share * len(self._requests) + self.slack
        if len(self._sends) + sends > allowed:
            return False
        self._sends.extend(itertools.repeat(self._now(), sends))
        return True

    def _forget(self, moments: collections.deque[float]) -> None:
        since = self._now() - self._window_s
        while moments and moments[0] < since:
            moments.popleft()
