"""Limits on the number of retries relative to the number of requests."""

import collections
import itertools
from typing import Final, final

from verbenahall.clock import Clock

#: Retries allowed per request.
_RETRY_SHARE: Final = 0.2
#: Capacity of the bucket, in retries.
_MAX_TOKENS: Final = 20.0


@final
class RetryBudget:
    """A token bucket that is filled by requests and emptied by retries.

    Unlimited retries would multiply the load on a fleet that already fails
    under load. Each request adds ``share`` tokens, up to ``max_tokens``; each
    retry takes one.
    """

    __slots__ = ('_share', '_max_tokens', '_tokens')

    def __init__(
        self,
        share: float = _RETRY_SHARE,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        """Start with a full bucket."""
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def record_request(self) -> None:
        """Count a new request."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_spend(self, sends: int = 1) -> bool:
        """Take one token per send, or return False if there are too few."""
        if self._tokens < sends:
            return False
        self._tokens -= sends
        return True


@final
class WindowBudget:
    """Limits the retries within a sliding window of time.

    In each window of ``window_s`` seconds, the number of retried sends is at
    most ``share`` times the number of new requests, plus ``burst``. The
    operators state their limit in this form.

    A token bucket of the same share is empty after four sends. The crash of an
    engine can break forty streams within one second; with the bucket, most of
    them failed although the window's limit was far from reached.
    """

    __slots__ = ('burst', '_share', '_window_s', '_now', '_requests', '_sends')

    def __init__(
        self,
        share: float,
        burst: float,
        window_s: float,
        now: Clock,
    ) -> None:
        """Start with an empty window."""
        self.burst = burst
        self._share = share
        self._window_s = window_s
        self._now = now
        self._requests: collections.deque[float] = collections.deque()
        self._sends: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Count a new request."""
        self._requests.append(self._now())
        self._drop_expired(self._requests)

    def try_spend(self, sends: int = 1) -> bool:
        """Add sends to the window, or return False if they exceed it."""
        self._drop_expired(self._requests)
        self._drop_expired(self._sends)
        allowed = self._share * len(self._requests) + self.burst
        if len(self._sends) + sends > allowed:
            return False
        self._sends.extend(itertools.repeat(self._now(), sends))
        return True

    def refund(self, sends: int) -> None:
        """Take back the newest sends, which were charged and not made."""
        for _ in range(min(sends, len(self._sends))):
            self._sends.pop()

    def _drop_expired(self, timestamps: collections.deque[float]) -> None:
        window_start = self._now() - self._window_s
        while timestamps and timestamps[0] < window_start:
            timestamps.popleft()


@final
class DeferredBudget:
    """Leaves the charge for a retry to the instance that sends it."""

    __slots__ = ()

    def try_spend(self, sends: int = 1) -> bool:
        """Return True."""
        return True
