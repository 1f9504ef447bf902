"""Claims keys for callers, who wait until the log has decided."""

import asyncio
import secrets
from typing import Any, Final, final

from returns.result import Failure, Result, Success

from verbenahall import clock, journal
from verbenahall.claims import _decisions as decisions
from verbenahall.claims._batcher import Batcher
from verbenahall.claims._messages import (
    DEFAULT_TIMING,
    Appender,
    ClaimsTiming,
    Lost,
    Verdict,
    Won,
)
from verbenahall.claims._state import ClaimsState
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.records import Record

_TOKEN_BYTES: Final = 6

_UNAVAILABLE: Final = Problem(
    ErrorKind.LOG_UNAVAILABLE,
    'the log is unavailable: it is unknown whether this key has run',
    Ran.NO,
)
_DUPLICATE: Final = Problem(
    ErrorKind.DUPLICATE,
    'this key was claimed before',
    Ran.UNKNOWN,
)


@final
class Claims:
    """Claims keys so that each has at most one winner among all instances.

    ``apply_record`` must be called with every record of the claims stream in
    order, and ``run`` must be running. A random token is added to ``holder``,
    so that no other process and no later run of this one uses the same name.
    """

    #: The section's name in snapshots.
    name: Final = 'claims'

    def __init__(
        self,
        client: Appender,
        holder: str,
        timing: ClaimsTiming = DEFAULT_TIMING,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Create the claims; they are appended through ``client``."""
        token = secrets.token_hex(_TOKEN_BYTES)
        self.state = ClaimsState(f'{holder}/{token}')
        self._timeout_s = timing.verdict_timeout_s
        self._verdicts: dict[str, asyncio.Future[Verdict | None]] = {}
        self.batcher = Batcher(
            self.state,
            client,
            self._reject,
            timing,
            now,
        )

    async def claim(self, workspace: str, key: str) -> Result[int, Problem]:
        """Claim a key; on success only this call may run the request.

        Return the offset of the claim. A key that was claimed before fails
        with ``DUPLICATE``. If the log cannot decide in time, the claim fails
        with ``LOG_UNAVAILABLE``, and nothing has run.
        """
        name = decisions.hash_key(workspace, key)
        result = await self._decide(name)
        journal.write_decision(
            'claim',
            workspace=workspace,
            key=name,
            outcome=_get_outcome_label(result),
            position=self.state.position,
        )
        return result

    def release(self, workspace: str, key: str, offset: int) -> None:
        """Release a claim won at ``offset`` whose request has not run.

        Call this only if the response says that the request did not run; the
        caller may then retry with the same key at any instance.
        """
        decisions.release(
            self.state,
            decisions.hash_key(workspace, key),
            offset,
        )
        self.batcher.wake()

    def apply_record(self, record: Record) -> None:
        """Fold one record; called by the follower of the log."""
        for verdict in decisions.apply_record(self.state, record):
            self._resolve(verdict.key, verdict)
        if self.state.unused:
            self.batcher.wake()

    def dump(self) -> dict[str, Any]:
        """Return the fold for a snapshot."""
        return decisions.dump(self.state)

    def load(self, section: dict[str, Any]) -> None:
        """Replace the fold by a snapshot; reject the waiting claims."""
        for key in decisions.load(self.state, section):
            self._resolve(key, None)

    async def run(self) -> None:
        """Append batches until cancelled."""
        await self.batcher.run()

    async def _decide(self, name: str) -> Result[int, Problem]:
        awaited = self._verdicts.get(name)
        if awaited is not None:
            return await _await_other_call(awaited)
        match decisions.try_claim(self.state, name):
            case Won(offset=offset):
                return Success(offset)
            case Lost():
                return Failure(_DUPLICATE)
        if self.batcher.is_rejecting:
            decisions.stop_waiting(self.state, name)
            return Failure(_UNAVAILABLE)
        return await self._wait(name)

    async def _wait(self, name: str) -> Result[int, Problem]:
        awaited = asyncio.get_running_loop().create_future()
        self._verdicts[name] = awaited
        self.batcher.wake()
        try:
            await asyncio.wait({awaited}, timeout=self._timeout_s)
        except asyncio.CancelledError:
            self._abandon(name, awaited)
            raise
        if not awaited.done():
            self._reject(name)
        match awaited.result():
            case Won(offset=offset):
                return Success(offset)
            case Lost():
                return Failure(_DUPLICATE)
        return Failure(_UNAVAILABLE)

    def _abandon(
        self,
        key: str,
        awaited: asyncio.Future[Verdict | None],
    ) -> None:
        """Abandon a claim whose caller has disconnected.

        If it was won in the same iteration of the event loop, it is released.
        If it were kept, no request with the key could ever run.
        """
        if not awaited.done():
            self._reject(key)
            return
        won = awaited.result()
        if isinstance(won, Won):
            decisions.release(self.state, key, won.offset)
            self.batcher.wake()

    def _reject(self, key: str) -> None:
        """Reject a claim whose verdict is unknown."""
        decisions.stop_waiting(self.state, key)
        self._resolve(key, None)

    def _resolve(self, key: str, verdict: Verdict | None) -> None:
        awaited = self._verdicts.pop(key, None)
        if awaited is not None and not awaited.done():
            awaited.set_result(verdict)


async def _await_other_call(
    awaited: asyncio.Future[Verdict | None],
) -> Result[int, Problem]:
    """Wait for another call with the same key; this one never wins."""
    await asyncio.wait({awaited})
    return Failure(_DUPLICATE if awaited.result() else _UNAVAILABLE)


def _get_outcome_label(result: Result[int, Problem]) -> str:
    if isinstance(result, Success):
        return 'won'
    return result.failure().kind.value
