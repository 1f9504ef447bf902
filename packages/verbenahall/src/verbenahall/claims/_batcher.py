"""Batches of claims: one append at a time, within a share of the log's rate."""

import asyncio
from collections.abc import Callable
from typing import final

from returns.result import Success

from verbenahall import clock
from verbenahall.claims import _decisions as decisions
from verbenahall.claims._messages import Appender, Batch, ClaimsTiming
from verbenahall.claims._state import ClaimsState
from verbenahall.records import CLAIMS_STREAM


@final
class Pace:
    """A token bucket over the process's appends."""

    def __init__(self, timing: ClaimsTiming, now: clock.Clock) -> None:
        """Start with a full bucket."""
        self._rate = timing.appends_per_s
        self._burst = timing.burst
        self._now = now
        self._tokens = timing.burst
        self._filled_at = now()

    async def wait(self) -> None:
        """Wait for a token and take it."""
        self._fill()
        if self._tokens < 1:
            await asyncio.sleep((1 - self._tokens) / self._rate)
            self._fill()
        self._tokens -= 1

    def _fill(self) -> None:
        now = self._now()
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now


@final
class Batcher:
    """Appends what the state wants told.

    While one append is on its way the next batch grows, so the number of
    appends follows the log's speed and not the number of keys. ``refuse``
    is called with each key of a batch that can't be known to have landed.
    """

    def __init__(
        self,
        state: ClaimsState,
        client: Appender,
        refuse: Callable[[str], None],
        timing: ClaimsTiming,
        now: clock.Clock,
    ) -> None:
        """Append through ``client``."""
        self.appends = 0
        self._state = state
        self._client = client
        self._refuse = refuse
        self._timing = timing
        self._now = now
        self._pace = Pace(timing, now)
        self._wake = asyncio.Event()
        self._refuse_until = float('-inf')

    @property
    def is_rejecting(self) -> bool:
        """Whether the log failed just now, so that a claim would only wait."""
        return self._now() < self._refuse_until

    def wake(self) -> None:
        """Append soon."""
        self._wake.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wake.wait()
            await self._pace.wait()
            self._wake.clear()
            await self.flush()

    async def flush(self) -> None:
        """Append one batch, if anything waits."""
        batch = decisions.pop_batch(self._state, self._timing.keys_at_once)
        if batch is None:
            return
        if self._state.unsent:
            self.wake()
        if await self._append(batch):
            return
        if self._is_awaited(batch):
            self._give_up(batch)
        if self._state.freeing:
            loop = asyncio.get_running_loop()
            loop.call_later(self._timing.refuse_s, self.wake)

    async def _append(self, batch: Batch) -> bool:
        body = decisions.encode_batch(self._state, batch)
        self.appends += 1
        try:
            async with asyncio.timeout(self._timing.append_timeout_s):
                appended = await self._client.append(CLAIMS_STREAM, body)
        except TimeoutError:
            return False
        return isinstance(appended, Success)

    def _is_awaited(self, batch: Batch) -> bool:
        """Whether a failed append leaves a claim undecided.

        The record may be read before the append is answered; a log whose
        answers are late is not down.
        """
        return not self._state.waiting.isdisjoint(batch.keys)

    def _give_up(self, batch: Batch) -> None:
        """Refuse at once while the log is down, rather than let all wait."""
        self._refuse_until = self._now() + self._timing.refuse_s
        for key in batch.keys:
            self._refuse(key)
