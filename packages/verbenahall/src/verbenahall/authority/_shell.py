"""Appends the claims and renewals for the lease on one scope."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final, Protocol

from returns.result import Result

from verbenahall.authority._decisions import (
    LeaseCandidate,
    choose_step,
    find_deadline,
    find_token,
    record_sent,
)
from verbenahall.authority._messages import (
    Claim,
    Idle,
    LeaseTiming,
    Release,
    Renew,
    encode_step,
)
from verbenahall.authority._state import AuthorityState
from verbenahall.clock import Clock, monotonic
from verbenahall.errors import Problem
from verbenahall.journal import write_decision
from verbenahall.records import AUTHORITY_STREAM

#: Longest sleep between two checks of the fold, in seconds.
_CHECK_INTERVAL_S: Final = 0.05
#: Timeout of one append, as a share of the lease.
_APPEND_TIMEOUT_SHARE: Final = 1 / 6


class Appender(Protocol):
    """The part of ``verbenahall.log.LogClient`` that is used here."""

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, Problem]:
        """Append one record; return its offset, or why it is unknown."""


class LeaseManager:
    """Acquires and renews the lease on one scope while it runs.

    ``caught_up`` returns whether the log's follower has read to the end of
    the log. Before that a claim would be rejected as outdated, so none is
    sent.
    """

    def __init__(
        self,
        state: AuthorityState,
        client: Appender,
        scope: str,
        holder: str,
        timing: LeaseTiming,
        *,
        caught_up: Callable[[], bool],
        clock: Clock = monotonic,
        randomness: random.Random | None = None,
    ) -> None:
        """Create the manager; nothing is sent before ``run``."""
        source = randomness or random.Random()
        self.state = state
        self.candidate = LeaseCandidate(scope, holder, source.random())
        self.appends = 0
        self._client = client
        self._timing = timing
        self._caught_up = caught_up
        self._clock = clock
        self._token: int | None = None

    def find_token(self, scope: str, now: float) -> int | None:
        """Return the fencing token while this process holds ``scope``."""
        if scope != self.candidate.scope:
            return None
        return find_token(self.state, self.candidate, self._timing, now)

    def remaining_s(self, now: float) -> float:
        """Return how many seconds of the lease are left, at least 0."""
        deadline = find_deadline(self.state, self.candidate, self._timing)
        return max(0, deadline - now)

    async def run(self) -> None:
        """Claim and renew until cancelled."""
        while True:
            self._log_changes()
            await self._run_step()

    async def release(self) -> None:
        """Release the scope; call it once ``run`` has been cancelled.

        The caller must have stopped sending orders, because the next holder
        waits for a shorter time after a release.
        """
        grant = self.state.find_grant(self.candidate.scope)
        if grant.token and grant.holder == self.candidate.holder:
            await self._append(Release(grant.last))

    async def _run_step(self) -> None:
        now = self._clock()
        step = choose_step(self.state, self.candidate, self._timing, now)
        match step:
            case Idle(until):
                await asyncio.sleep(min(_CHECK_INTERVAL_S, max(0, until - now)))
            case Claim() if not self._caught_up():
                await asyncio.sleep(_CHECK_INTERVAL_S)
            case Claim() | Renew():
                await self._append(step)

    async def _append(self, step: Claim | Renew | Release) -> None:
        record_sent(self.candidate, step.after, self._clock())
        self.appends += 1
        body = encode_step(
            step,
            self.candidate.scope,
            self.candidate.holder,
            self._timing.lease_s,
        )
        # The result is ignored: the lease depends on the record that is read
        # back, whether or not the response was lost. So the client's search
        # for a record whose response was lost may be cut short; waiting for
        # it would let the lease expire.
        try:
            async with asyncio.timeout(
                self._timing.lease_s * _APPEND_TIMEOUT_SHARE
            ):
                await self._client.append(AUTHORITY_STREAM, body)
        except TimeoutError:
            write_decision(
                'lease_append_late',
                scope=self.candidate.scope,
                after=step.after,
            )

    def _log_changes(self) -> None:
        token = self.find_token(self.candidate.scope, self._clock())
        if token == self._token:
            return
        self._token = token
        write_decision(
            'lease',
            scope=self.candidate.scope,
            holder=self.candidate.holder,
            token=token,
        )
