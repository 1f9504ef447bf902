"""Asks the store when what is known of a topic has grown too old."""

import asyncio
from typing import Final, final

from verbenahall.gateway._core import Core
from verbenahall.gateway._followers import Follower

#: Least time between two looks at the age, in seconds.
_LOOK_S: Final = 0.05
#: Longest pause before a store that did not answer is asked again, in seconds.
_PAUSE_S: Final = 0.7
#: Instances that hear the same followers spread their calls over this part of
#: the age at which they ask.
_SPREAD_SHARE: Final = 0.1


@final
class Refresher:
    """Bounds the age of a topic, whatever happens to those that follow it.

    Peers that follow the store may have lost it, their datagrams may get lost,
    and a poll may never be answered. None of these delays adds to another one:
    at a fixed age the store is asked with a call of its own.
    """

    __slots__ = ('_core', '_follower', '_freshness')

    def __init__(self, core: Core, follower: Follower) -> None:
        """Look at the age of what a follower follows."""
        self._core = core
        self._follower = follower
        self._freshness = core.freshness[follower.subject.topic]

    async def run(self) -> None:
        """Ask whenever it is due, until cancelled."""
        while True:
            await asyncio.sleep(max(_LOOK_S, self._find_wait()))
            self._follower.apply_peer_confirmations()
            if self._find_wait() > 0 or await self._follower.refresh():
                continue
            jitter = self._core.random.uniform(0.5, 1)
            await asyncio.sleep(_PAUSE_S * jitter)

    def _find_wait(self) -> float:
        """Return the time until the store is to be asked, in seconds."""
        freshness = self._freshness
        spread = 1 - _SPREAD_SHARE * self._core.random.random()
        due_s = freshness.refresh_s * spread
        return due_s - freshness.find_age(self._core.now())
