"""An event loop whose clock jumps from one timer to the next."""

import asyncio
import selectors
from unittest import mock

from verbenahall import clock


#: The time of day at the simulated second 0, in seconds since 1970.
START = 1_790_000_000


class JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the clock goes on to the next timer instead."""

    def __init__(self):
        super().__init__()
        self.now = 0

    def select(self, timeout=None):
        """Return what is ready, or let time pass if nothing is."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, 'nothing is left to happen'
            self.now += timeout
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is its selector's."""

    def __init__(self):
        self.clock = JumpingSelector()
        super().__init__(self.clock)

    def time(self):
        """Return the simulated time in seconds."""
        return self.clock.now


def run_simulated(coroutine):
    """Run a coroutine on a simulated clock, from second 0 on."""
    loop = SimulatedLoop()
    try:
        with (
            mock.patch.object(clock, 'monotonic', loop.time),
            mock.patch.object(clock, 'boottime', loop.time),
            mock.patch.object(clock, 'wall', lambda: START + loop.time()),
        ):
            return loop.run_until_complete(coroutine)
    finally:
        loop.close()
