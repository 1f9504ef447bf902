"""Updates the gauges that are not set by events."""

import asyncio
from typing import Final, final

from verbenahall import clock, metrics
from verbenahall.authority import LeaseManager
from verbenahall.instance._folds import Folds
from verbenahall.log import LogFollower

_PERIOD_S: Final = 1.0


@final
class Gauges:
    """Reads settings, the log's age and the lease periodically."""

    __slots__ = ('_folds', '_follower', '_lease_manager', '_scope')

    def __init__(
        self,
        folds: Folds,
        follower: LogFollower,
        lease_manager: LeaseManager,
        scope: str,
    ) -> None:
        """Store the sources; ``scope`` is the scope of the lease."""
        self._folds = folds
        self._follower = follower
        self._lease_manager = lease_manager
        self._scope = scope

    async def run(self) -> None:
        """Update the gauges until cancelled."""
        while True:
            self.set_all()
            await asyncio.sleep(_PERIOD_S)

    def set_all(self) -> None:
        """Set every gauge once."""
        now = clock.monotonic()
        token = self._lease_manager.find_token(self._scope, now)
        metrics.SETTINGS_POSITION.set({}, self._folds.settings.position)
        metrics.SETTINGS_LAG_SECONDS.set({}, now - self._follower.last_contact)
        metrics.LEASE_HELD.set({'scope': self._scope}, int(token is not None))
