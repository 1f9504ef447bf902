"""An event loop in virtual time, which passes while nothing is left to run."""

import asyncio
import contextlib
import selectors
from collections.abc import Iterator
from typing import Final, final

from verbenahall import clock

#: Time at which virtual clocks start, in seconds: a clock that starts at zero
#: would hide the difference between a time and an age.
_START_S: Final = 1000.0


@final
class _VirtualSelector(selectors.SelectSelector):
    """Lets the time of a selection pass at once; nothing ever gets ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START_S

    def select(self, timeout: float | None = None) -> list[object]:
        if timeout is None:
            raise RuntimeError('every task waits, and no timer is set')
        self.now += max(0, timeout)
        return []


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks and timers; there is no input or output."""

    def __init__(self) -> None:
        """Start the clock."""
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


@contextlib.contextmanager
def open_virtual_loop() -> Iterator[VirtualLoop]:
    """Open a loop by whose time the product's clock goes, too."""
    loop = VirtualLoop()
    before = clock.monotonic
    clock.monotonic = loop.time
    try:
        yield loop
    finally:
        clock.monotonic = before
        loop.close()
