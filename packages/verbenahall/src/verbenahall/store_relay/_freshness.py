"""Age of the local copy of a topic, and the age up to which it may be used.

The age counts from the last time at which the store is known to have held
nothing newer, by a call of this instance or of a peer. Delays of followers, of
heartbeats and of this process are all included.
"""

import asyncio
import contextlib
import dataclasses
from typing import Final, final

from verbenahall import clock

#: Share of the longest usable age after which an instance reads the store
#: itself. The remainder is time for the answer.
_REFRESH_SHARE: Final = 0.8
#: Share of the refresh age within which a follower of the store polls again.
#: The remainder is time for its heartbeats to reach the peers.
_POLL_SHARE: Final = 0.65
#: Shortest time between two calls of a follower, in seconds. Without it, a
#: store that reports records but does not return them would be polled in a
#: busy loop.
_MIN_WAIT_S: Final = 0.05
#: Longest time for which a request is held until outdated data is refreshed,
#: in seconds. The call to the store times out earlier.
_MAX_HOLD_S: Final = 0.5
_NEVER: Final = -float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """The store's own answer that it holds nothing newer.

    ``at`` is a time at which it held nothing newer, ``origin`` the instance
    that got the answer, and ``hops`` how often it was forwarded since.
    """

    at: float
    origin: str = ''
    hops: int = 0


@final
class Freshness:
    """The age of the local copy of one topic, by the monotonic clock.

    ``usable_s`` is the age up to which it may be used, ``confirmed_at`` when
    the store last held nothing newer, ``confirmation`` the answer that says so,
    and ``failed_at`` when a call of this instance last failed.
    """

    __slots__ = (
        'confirmation',
        'confirmed_at',
        'failed_at',
        'usable_s',
        '_changed',
    )

    def __init__(self, usable_s: float) -> None:
        """Start without a confirmation by the store."""
        self.confirmation = Confirmation(_NEVER)
        self.confirmed_at = _NEVER
        self.failed_at = _NEVER
        self.usable_s = usable_s
        self._changed = asyncio.Event()

    @property
    def refresh_s(self) -> float:
        """Age at which the instance reads the store itself, in seconds."""
        return self.usable_s * _REFRESH_SHARE

    @property
    def is_known(self) -> bool:
        """Whether the topic was ever confirmed."""
        return self.confirmed_at > _NEVER

    @property
    def has_failed(self) -> bool:
        """Whether a call has failed since the last confirmation."""
        return self.failed_at > self.confirmed_at

    def find_age(self, now: float) -> float:
        """Return the age in seconds, infinite before the first confirmation."""
        return now - self.confirmed_at

    def limit_wait(self, wait_s: float, now: float) -> float:
        """Limit the time for which a follower of the store may wait.

        Peers that rely on the follower receive its confirmations with a
        delay; after a longer wait they would read the store themselves.
        """
        longest_s = self.refresh_s * _POLL_SHARE - self.find_age(now)
        return max(_MIN_WAIT_S, min(wait_s, longest_s))

    def record_confirmed(self, at: float) -> None:
        """Record an answer of the store to this instance."""
        self.record_confirmation(Confirmation(at))

    def record_confirmation(self, confirmation: Confirmation) -> bool:
        """Record a confirmation; return whether it is newer than the last."""
        if confirmation.at <= self.confirmed_at:
            return False
        self.confirmation = confirmation
        self.confirmed_at = confirmation.at
        self._wake()
        return True

    def record_failure(self, now: float) -> None:
        """Record that a call of this instance to the store failed."""
        self.failed_at = now
        self._wake()

    async def wait_usable(self) -> None:
        """Wait until the local copy may be used, up to ``_MAX_HOLD_S``.

        While the store is unreachable, it may be used at any age: requests
        are served by the last known state.
        """
        if self._is_usable():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_HOLD_S):
                while not self._is_usable():
                    await self._changed.wait()

    def _is_usable(self) -> bool:
        is_recent = self.find_age(clock.monotonic()) <= self.usable_s
        return is_recent or self.has_failed or not self.is_known

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
