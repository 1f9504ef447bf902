"""An event loop on a simulated clock that jumps from timer to timer."""

import asyncio
import selectors
from unittest import mock

from verbenahall import clock


#: The time of day at the simulated second 0, in seconds since 1970.
START_TIME_S = 1_790_000_000


class JumpingSelector(selectors.SelectSelector):
    """Advances the simulated clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0

    def select(self, timeout=None):
        """Return ready events; if there are none, advance the clock."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, 'no timer and no ready event is left'
            self.now += timeout
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that reads the time from its selector's clock."""

    def __init__(self):
        self.clock = JumpingSelector()
        super().__init__(self.clock)

    def time(self):
        """Return the simulated time in seconds."""
        return self.clock.now


def run_simulated(coroutine):
    """Run a coroutine on a simulated clock that starts at second 0."""
    loop = SimulatedLoop()
    try:
        with (
            mock.patch.object(clock, 'monotonic', loop.time),
            mock.patch.object(clock, 'boottime', loop.time),
            mock.patch.object(
                clock, 'wall', lambda: START_TIME_S + loop.time()
            ),
        ):
            return loop.run_until_complete(coroutine)
    finally:
        loop.close()
