"""Appends claims in batches, one append at a time and at a limited rate."""

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
class TokenBucket:
    """Token bucket that limits the rate of this process's appends."""

    def __init__(self, timing: ClaimsTiming, now: clock.Clock) -> None:
        """Start with a full bucket."""
        self._rate = timing.appends_per_s
        self._burst = timing.burst
        self._now = now
        self._tokens = timing.burst
        self._filled_at = now()

    async def wait(self) -> None:
        """Wait until a token is available and consume it."""
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
    """Appends the unsent claims and releases of a state.

    The next batch is collected while an append is in progress, so the number
    of appends depends on the log's speed and not on the number of keys.
    ``reject`` is called with each key of a batch whose append failed or timed
    out.
    """

    def __init__(
        self,
        state: ClaimsState,
        client: Appender,
        reject: Callable[[str], None],
        timing: ClaimsTiming,
        now: clock.Clock,
    ) -> None:
        """Append through ``client``."""
        self.appends = 0
        self._state = state
        self._client = client
        self._reject = reject
        self._timing = timing
        self._now = now
        self._bucket = TokenBucket(timing, now)
        self._wake = asyncio.Event()
        self._reject_until = float('-inf')

    @property
    def is_rejecting(self) -> bool:
        """Whether an append failed recently, so that claims are rejected."""
        return self._now() < self._reject_until

    def wake(self) -> None:
        """Schedule an append."""
        self._wake.set()

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wake.wait()
            await self._bucket.wait()
            self._wake.clear()
            await self.flush()

    async def flush(self) -> None:
        """Append one batch, if there is anything to append."""
        batch = decisions.pop_batch(self._state, self._timing.keys_at_once)
        if batch is None:
            return
        if self._state.unsent:
            self.wake()
        if await self._append(batch):
            return
        if self._is_awaited(batch):
            self._reject_all(batch)
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

        If its record has been read from the log meanwhile, the claims are
        decided, and the log is only slow to answer and not down.
        """
        return not self._state.waiting.isdisjoint(batch.keys)

    def _reject_all(self, batch: Batch) -> None:
        """Reject a batch, and further claims at once for a while."""
        self._reject_until = self._now() + self._timing.refuse_s
        for key in batch.keys:
            self._reject(key)
