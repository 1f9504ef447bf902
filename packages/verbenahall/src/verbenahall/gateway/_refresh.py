"""Reads the store when the local copy of a topic has become too old."""

import asyncio
from typing import Final, final

from verbenahall.gateway._core import Core
from verbenahall.gateway._followers import Follower

#: Shortest time between two checks of the age, in seconds.
_MIN_CHECK_S: Final = 0.05
#: Longest pause before a failed read is retried, in seconds.
_PAUSE_S: Final = 0.7
#: Share of the refresh age over which the calls are randomized: instances that
#: rely on the same followers would otherwise call the store all at once.
_JITTER_SHARE: Final = 0.1


@final
class Refresher:
    """Bounds the age of the local copy of a topic.

    Peers that follow the topic may be partitioned from the store, their
    datagrams may get lost, and a poll may never be answered. These delays
    don't add up: at a fixed age the store is read by a separate call.
    """

    __slots__ = ('_core', '_follower', '_freshness')

    def __init__(self, core: Core, follower: Follower) -> None:
        """Check the age of a follower's topic."""
        self._core = core
        self._follower = follower
        self._freshness = core.freshness[follower.handler.topic]

    async def run(self) -> None:
        """Read the store whenever a refresh is due, until cancelled."""
        while True:
            await asyncio.sleep(max(_MIN_CHECK_S, self._find_wait()))
            self._follower.local.apply_peer_confirmations()
            if self._find_wait() > 0 or await self._follower.refresh():
                continue
            jitter = self._core.random.uniform(0.5, 1)
            await asyncio.sleep(_PAUSE_S * jitter)

    def _find_wait(self) -> float:
        """Return the time until the next refresh is due, in seconds."""
        freshness = self._freshness
        factor = 1 - _JITTER_SHARE * self._core.random.random()
        due_s = freshness.refresh_s * factor
        return due_s - freshness.find_age(self._core.now())
