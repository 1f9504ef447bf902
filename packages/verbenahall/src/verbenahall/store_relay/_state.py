"""The requests of one topic that an instance has sent to peers."""

import random
from collections.abc import Sequence
from typing import Final, final

#: Interval of requests that were answered, in seconds. An instance whose whole
#: data centre is refused gets changes and confirmations by these only, and a
#: change must be in force within two seconds.
INTERVAL_S: Final = 0.5
#: The same if records are known to be missing, in seconds.
_URGENT_S: Final = 0.1
#: Pause after failures, in seconds, doubled with each one after the first
#: ``_QUICK_FAILURES``, after which the next peer is tried at once.
_MIN_PAUSE_S: Final = 0.1
_MAX_PAUSE_S: Final = 1.0
_QUICK_FAILURES: Final = 3
#: Range of the random factor of the pauses.
_JITTER: Final = (0.75, 1.0)
#: Longest pause if records are known to be missing, in seconds.
_MAX_URGENT_PAUSE_S: Final = 0.2
#: How long a peer is avoided that gave no answer, one whose answer brought
#: nothing, and one that sends too much to others, in seconds.
_FAILED_S: Final = 2.0
_BEHIND_S: Final = 0.15
_BUSY_S: Final = 0.1


@final
class RelayState:
    """When the next request is due, and which peers are avoided.

    ``avoided_until`` holds the end of this by peer, ``failures`` counts the
    requests in a row that brought nothing. The next request is due at
    ``due_at``, or at ``urgent_at`` if records are missing. ``follower`` is a
    peer that has answered with a confirmation of its own, empty for none.
    """

    __slots__ = (
        'avoided_until',
        'due_at',
        'failures',
        'follower',
        'urgent_at',
        '_random',
    )

    def __init__(self, rng: random.Random) -> None:
        """Start with a request that is due."""
        self.avoided_until: dict[str, float] = {}
        self.due_at = -float('inf')
        self.failures = 0
        self.follower = ''
        self.urgent_at = self.due_at
        self._random = rng

    def find_wait(self, now: float, *, urgent: bool) -> float:
        """Return the time until the next request is due, in seconds."""
        due_at = self.urgent_at if urgent else self.due_at
        return max(0, due_at - now)

    def order(self, candidates: Sequence[str], now: float) -> Sequence[str]:
        """Return the peers for the next request, the known follower first.

        Heartbeats of other data centres are not received in a large fleet, so
        that a follower there is known by its answers only.
        """
        is_avoided = self.avoided_until.get(self.follower, 0) > now
        if self.follower not in candidates or is_avoided:
            return candidates
        others = (name for name in candidates if name != self.follower)
        return (self.follower, *others)

    def record_use(self, now: float, follower: str = '') -> None:
        """Record an answer that brought records or a confirmation."""
        self.failures = 0
        self.follower = follower
        self.due_at = now + INTERVAL_S * self._random.uniform(*_JITTER)
        self.urgent_at = now + _URGENT_S

    def record_behind(self, peer: str, now: float) -> None:
        """Record that the answer of a peer brought nothing."""
        self._record_failure(peer, now, _BEHIND_S)

    def record_busy(self, peer: str, now: float) -> None:
        """Record that a peer sends too much to others at present."""
        self._record_failure(peer, now, _BUSY_S)

    def record_failure(self, peer: str, now: float) -> None:
        """Record that a peer gave no answer."""
        self._record_failure(peer, now, _FAILED_S)

    def record_no_peer(self, now: float) -> None:
        """Record that there is no peer to send a request to."""
        self.due_at = now + _MAX_PAUSE_S
        self.urgent_at = now + _MAX_URGENT_PAUSE_S

    def _record_failure(self, peer: str, now: float, for_s: float) -> None:
        self.avoided_until = {
            name: until
            for name, until in self.avoided_until.items()
            if until > now
        }
        self.avoided_until[peer] = now + for_s
        self.failures += 1
        doublings = self.failures - _QUICK_FAILURES
        pause_s = min(_MIN_PAUSE_S * 2 ** min(doublings, 8), _MAX_PAUSE_S)
        if doublings < 0:
            pause_s = 0
        pause_s *= self._random.uniform(*_JITTER)
        self.due_at = now + pause_s
        self.urgent_at = now + min(pause_s, _MAX_URGENT_PAUSE_S)
