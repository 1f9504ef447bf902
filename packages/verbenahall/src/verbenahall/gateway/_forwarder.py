"""Forwards calls to peers where this instance reaches no endpoint."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Coroutine
from typing import Final, final

from aiohttp import web
from returns.maybe import Maybe, Some
from returns.result import Failure, Result, Success

from verbenahall import reach
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.forwarding import (
    ChosenPeer,
    OpenForwards,
    choose_peer,
    is_frozen,
    record_forward_ended,
    record_forwarded,
)
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._hop_client import Forwarded, HopClient
from verbenahall.gateway._messages import Call
from verbenahall.gateway._relay import EventRelay
from verbenahall.hedging import Branch, Stage
from verbenahall.requests import (
    DeferredBudget,
    NeverWritten,
    Refused,
    Silent,
)

#: Peers that are tried for one call at most.
_MAX_PEERS: Final = 3
#: Longest wait for a check of the path that is under way, in seconds: the
#: connects of its two rounds and the interval at which checks are started.
_MAX_CHECK_S: Final = 0.7
_POLL_S: Final = 0.02
#: Interval at which the peer of an open hop is looked at, in seconds.
_WATCH_S: Final = 0.2


@final
class PeerForwarder:
    """Lets peers serve calls whose endpoints this instance doesn't reach."""

    __slots__ = ('_client', '_core', '_open')

    def __init__(self, core: Core, open_forwards: OpenForwards) -> None:
        """Install the forwarder in the core."""
        self._client = HopClient(core)
        self._core = core
        self._open = open_forwards
        core.forwarder = self

    async def should_forward(self, attempts: Attempts) -> bool:
        """Whether the service of a call is not reached.

        After a failed attempt this waits for a check that is under way, so
        that the call doesn't meet one endpoint after the other in vain.
        """
        call = attempts.call
        if call.hop is not None:
            return False
        if attempts.started:
            await self.wait_checked(call.service.name)
        return self._core.reach.is_lost(call.service.name)

    async def wait_checked(self, service: str) -> None:
        """Wait for the end of a check that may find the path lost."""
        known = self._core.reach.get(service)
        end = self._core.now() + _MAX_CHECK_S
        while known.lost_at is None and self._core.now() < end:
            if not reach.is_check_due(known, self._core.now()):
                return
            await asyncio.sleep(_POLL_S)

    async def run(
        self,
        attempts: Attempts,
        branch: Branch,
        relay: EventRelay | None = None,
    ) -> Result[web.StreamResponse, Problem]:
        """Return the answer of a peer, or why there is none.

        With ``relay`` a stream is relayed as it arrives.
        """
        while len(attempts.tried_peers) < _MAX_PEERS:
            chosen = self._choose_peer(attempts)
            if not isinstance(chosen, Some):
                break
            peer = chosen.unwrap()
            attempts.tried_peers.add(peer.name)
            result = await self._send_once(attempts, peer, branch, relay)
            ended = _handle_result(attempts, peer, branch, relay, result)
            if ended is not None:
                return ended
        return Failure(self._make_unreachable_problem(attempts.call))

    async def _send_once(
        self,
        attempts: Attempts,
        peer: ChosenPeer,
        branch: Branch,
        relay: EventRelay | None,
    ) -> Forwarded:
        call = attempts.call
        if call.route.is_exclusive:
            await branch.wait_for_turn()
        attempts.started += 1
        started = self._core.now()
        record_forwarded(
            call.head.identity,
            peer.name,
            call.service.name,
            call.left_s(started),
        )
        self._open.begin(peer.name)
        is_exclusive = call.route.is_exclusive
        branch.enter(Stage.SENT if is_exclusive else Stage.RUNNING)
        branch.may_hedge = functools.partial(
            self._may_hedge, attempts, peer, relay
        )
        try:
            async with _run_beside(self._watch(peer, branch)):
                result = await self._client.send(attempts, peer, branch, relay)
        except asyncio.CancelledError:
            if branch.is_superseded:
                attempts.record_superseded(peer.name)
            raise
        finally:
            self._open.end(peer.name)
        attempts.record(peer.name, result)
        took_s = self._core.now() - started
        record_forward_ended(call.head.identity, peer.name, result, took_s)
        return result

    async def _watch(self, peer: ChosenPeer, branch: Branch) -> None:
        """Let the branch count as silent while its peer is frozen."""
        core = self._core
        while True:
            await asyncio.sleep(_WATCH_S)
            is_silent = is_frozen(core.peer_table, peer.name, core.now())
            branch.expect_progress(0 if is_silent else None)

    def _may_hedge(
        self, attempts: Attempts, peer: ChosenPeer, relay: EventRelay | None
    ) -> bool:
        """Whether the call may be sent to another peer as well.

        That peer charges its own budget for the retry.
        """
        is_last = len(attempts.tried_peers) >= _MAX_PEERS
        if is_last or not isinstance(self._choose_peer(attempts), Some):
            return False
        return attempts.may_hedge(
            Silent(),
            peer.name,
            delivered=_has_begun(relay),
            budget=DeferredBudget(),
        )

    def _choose_peer(self, attempts: Attempts) -> Maybe[ChosenPeer]:
        core = self._core
        return choose_peer(
            core.peer_table,
            self._open,
            attempts.call.service.name,
            attempts.tried_peers,
            core.now(),
            core.random,
        )

    def _make_unreachable_problem(self, call: Call) -> Problem:
        return Problem(
            ErrorKind.NO_ENDPOINT,
            'no endpoint of the service is reached from here or by a peer',
            Ran.NO,
            retry_after_s=call.route.objective_s,
        )


@contextlib.asynccontextmanager
async def _run_beside(
    watch: Coroutine[None, None, None],
) -> AsyncIterator[None]:
    """Run a coroutine while the context is open."""
    watching = asyncio.create_task(watch)
    try:
        yield
    finally:
        watching.cancel()


def _handle_result(
    attempts: Attempts,
    peer: ChosenPeer,
    branch: Branch,
    relay: EventRelay | None,
    result: Forwarded,
) -> Result[web.StreamResponse, Problem] | None:
    """Return the result; None if another peer may be tried."""
    match result:
        case Success(_):
            return result
        case Failure(NeverWritten() | Refused()) if branch.may_retry(ran=False):
            return None
        case Failure(outcome):
            # The next peer charges its own budget for the retry.
            problem = attempts.handle_failure(
                outcome,
                branch,
                delivered=_has_begun(relay),
                budget=DeferredBudget(),
                peer=peer.name,
            )
            return None if problem is None else Failure(problem)
    raise AssertionError('a result is a success or a failure')


def _has_begun(relay: EventRelay | None) -> bool:
    return relay is not None and relay.begun
