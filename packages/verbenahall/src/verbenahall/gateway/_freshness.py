"""How old what is known of a topic is, and how old it may be when it is used.

The age counts from when the store last held nothing newer, as whoever asked it
knows: delays of followers, heartbeats and of this process are all part of it.
"""

import asyncio
import contextlib
from typing import Final, final

from verbenahall import clock

#: Part of the longest age after which an instance asks the store itself. The
#: rest is time for the answer.
_REFRESH_SHARE: Final = 0.8
#: Part of that again within which followers of the store ask it anew. The rest
#: is time for their heartbeats.
_FOLLOW_SHARE: Final = 0.65
#: Least time between two calls of a follower, in seconds. A store that names
#: records which it does not hand out would be asked without a pause.
_LEAST_WAIT_S: Final = 0.05
#: Longest wait for the store's answer before something old is used, in
#: seconds. The call itself is given up sooner.
_HOLD_S: Final = 0.5
_NEVER: Final = -float('inf')


@final
class Freshness:
    """The age of one topic, in monotonic seconds.

    ``usable_s`` is how old it may be when it is used.
    """

    __slots__ = ('confirmed_at', 'failed_at', 'usable_s', '_changed')

    def __init__(self, usable_s: float) -> None:
        """Start without an answer of the store."""
        self.confirmed_at = _NEVER
        self.failed_at = _NEVER
        self.usable_s = usable_s
        self._changed = asyncio.Event()

    @property
    def refresh_s(self) -> float:
        """At which age an instance asks the store whatever its peers do."""
        return self.usable_s * _REFRESH_SHARE

    @property
    def is_known(self) -> bool:
        """Whether the store has ever answered."""
        return self.confirmed_at > _NEVER

    @property
    def has_failed(self) -> bool:
        """Whether a call has failed since the store last confirmed."""
        return self.failed_at > self.confirmed_at

    def find_age(self, now: float) -> float:
        """Return the age, infinite before the first answer."""
        return now - self.confirmed_at

    def limit_wait(self, wait_s: float, now: float) -> float:
        """Return for how long a follower of the store may wait at most.

        Those that rely on it hear of the store's answers with a delay, and
        would ask the store themselves.
        """
        longest_s = self.refresh_s * _FOLLOW_SHARE - self.find_age(now)
        return max(_LEAST_WAIT_S, min(wait_s, longest_s))

    def note_confirmed(self, at: float) -> None:
        """Note that the store held nothing newer at a time."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self._wake()

    def note_lost(self, now: float) -> None:
        """Note that the store did not answer this instance."""
        self.failed_at = now
        self._wake()

    async def wait_usable(self) -> None:
        """Wait until what is known may be used, for a moment at most.

        While the store is out of reach there is nothing to wait for, and
        requests are served by what is known.
        """
        if self._may_use():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_HOLD_S):
                while not self._may_use():
                    await self._changed.wait()

    def _may_use(self) -> bool:
        is_young = self.find_age(clock.monotonic()) <= self.usable_s
        return is_young or self.has_failed or not self.is_known

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
