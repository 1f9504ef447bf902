"""Shell of claims: callers wait here for the log's verdict."""

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
    'the log can not tell whether this key has run',
    Ran.NO,
)
_DUPLICATE: Final = Problem(
    ErrorKind.DUPLICATE,
    'this key was claimed before',
    Ran.UNKNOWN,
)


@final
class Claims:
    """At most one winner for each key, among all instances.

    ``apply_record`` must be given every record of the claims stream in
    order, and ``run`` must run. A process never shares a holder with
    another, nor with its own earlier life: a random token is added to
    ``holder``.
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
        """Claim through ``client``."""
        token = secrets.token_hex(_TOKEN_BYTES)
        self.state = ClaimsState(f'{holder}/{token}')
        self._timeout_s = timing.verdict_timeout_s
        self._verdicts: dict[str, asyncio.Future[Verdict | None]] = {}
        self.batcher = Batcher(
            self.state,
            client,
            self._refuse,
            timing,
            now,
        )

    async def claim(self, workspace: str, key: str) -> Result[int, Problem]:
        """Claim a key; success means that this caller alone may run it.

        A repeated key fails with ``DUPLICATE``. When the log can't tell it
        fails with ``LOG_UNAVAILABLE``, and nothing has run.
        """
        name = decisions.name_key(workspace, key)
        result = await self._decide(name)
        journal.write_decision(
            'claim',
            workspace=workspace,
            key=name,
            outcome=_describe(result),
            position=self.state.position,
        )
        return result

    def release(self, workspace: str, key: str, offset: int) -> None:
        """Give back a claim won at ``offset`` whose request never ran.

        Call it only where the caller is told that the request did not run;
        the caller may then try the key again at any instance.
        """
        decisions.release(
            self.state,
            decisions.name_key(workspace, key),
            offset,
        )
        self.batcher.wake()

    def apply_record(self, record: Record) -> None:
        """Fold one record of the log; a handler for the log's follower."""
        for verdict in decisions.apply_record(self.state, record):
            self._settle(verdict.key, verdict)
        if self.state.unused:
            self.batcher.wake()

    def dump(self) -> dict[str, Any]:
        """Return the fold for a snapshot."""
        return decisions.dump(self.state)

    def load(self, section: dict[str, Any]) -> None:
        """Start over from a snapshot; claims that wait are refused."""
        for key in decisions.load(self.state, section):
            self._settle(key, None)

    async def run(self) -> None:
        """Append batches until cancelled."""
        await self.batcher.run()

    async def _decide(self, name: str) -> Result[int, Problem]:
        awaited = self._verdicts.get(name)
        if awaited is not None:
            return await _share(awaited)
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
            self._let_go(name, awaited)
            raise
        if not awaited.done():
            self._refuse(name)
        match awaited.result():
            case Won(offset=offset):
                return Success(offset)
            case Lost():
                return Failure(_DUPLICATE)
        return Failure(_UNAVAILABLE)

    def _let_go(
        self,
        key: str,
        awaited: asyncio.Future[Verdict | None],
    ) -> None:
        """Give up a claim whose caller has gone away.

        It may have been won in the same turn of the loop: nobody would run
        it, and nobody else could.
        """
        if not awaited.done():
            self._refuse(key)
            return
        won = awaited.result()
        if isinstance(won, Won):
            decisions.release(self.state, key, won.offset)
            self.batcher.wake()

    def _refuse(self, key: str) -> None:
        """Stop waiting for a key whose verdict can't be known."""
        decisions.stop_waiting(self.state, key)
        self._settle(key, None)

    def _settle(self, key: str, verdict: Verdict | None) -> None:
        awaited = self._verdicts.pop(key, None)
        if awaited is not None and not awaited.done():
            awaited.set_result(verdict)


async def _share(
    awaited: asyncio.Future[Verdict | None],
) -> Result[int, Problem]:
    """Wait for the verdict of another call; at most that call wins."""
    await asyncio.wait({awaited})
    return Failure(_DUPLICATE if awaited.result() else _UNAVAILABLE)


def _describe(result: Result[int, Problem]) -> str:
    if isinstance(result, Success):
        return 'won'
    return result.failure().kind.value
