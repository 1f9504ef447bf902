"""When a stop was requested, as far as a late event loop can tell."""

import asyncio
import collections
import contextlib
import itertools
from typing import Final

from verbenahall.clock import Clock

#: Interval at which it is noted that the event loop runs, and the time without
#: that after which a signal may have come at its beginning, in seconds.
_LOOK_INTERVAL_S: Final = 0.25
_MAX_LATE_S: Final = 0.5


async def wait_requested(requested: asyncio.Event, now: Clock) -> float:
    """Wait for a stop request; return the earliest time of it.

    A late event loop handles the signal long after it was sent, and the
    platform counts from its sending. After a pause of the process timers may
    run before signals, so the last look but one counts as well.
    """
    looks = collections.deque([now()], maxlen=3)
    while not requested.is_set():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LOOK_INTERVAL_S):
                await requested.wait()
        looks.append(now())
    pauses = (
        before
        for before, after in itertools.pairwise(looks)
        if after - before > _MAX_LATE_S
    )
    return next(pauses, looks[-1])
