"""Forwards calls to peers where this instance reaches no endpoint."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Collection, Coroutine
from typing import Final, final

from aiohttp import web
from returns.maybe import Maybe, Some
from returns.result import Failure, Success

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
from verbenahall.gateway._events import discard_partial
from verbenahall.gateway._hop_client import Forwarded, HopClient
from verbenahall.gateway._messages import Call
from verbenahall.gateway._relay import EventRelay
from verbenahall.requests import (
    Broken,
    DeferredBudget,
    NeverWritten,
    Refused,
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
        self, attempts: Attempts, relay: EventRelay | None = None
    ) -> web.StreamResponse:
        """Return the answer of a peer, or why there is none.

        With ``relay`` a stream is relayed as it arrives.
        """
        tried: set[str] = set()
        runs_before = attempts.runs
        while len(tried) < _MAX_PEERS:
            chosen = self._choose_peer(attempts.call, tried)
            if not isinstance(chosen, Some):
                break
            peer = chosen.unwrap()
            tried.add(peer.name)
            hop = _Hop(peer, frozenset(tried), attempts.runs == runs_before)
            result = await self._send_once(attempts, hop, relay)
            answer = _handle_result(attempts, peer, relay, result)
            if answer is not None:
                return answer
        problem = self._make_unreachable_problem(attempts.call)
        return _abandon(attempts, problem, relay)

    async def _send_once(
        self,
        attempts: Attempts,
        hop: '_Hop',
        relay: EventRelay | None,
    ) -> Forwarded:
        peer = hop.peer
        attempts.started += 1
        started = self._core.now()
        call = attempts.call
        record_forwarded(
            call.head.identity,
            peer.name,
            call.service.name,
            call.left_s(started),
        )
        if relay is not None:
            discard_partial(relay.state)
        self._open.begin(peer.name)
        try:
            result = await self._send_watched(attempts, hop, relay)
        finally:
            self._open.end(peer.name)
        attempts.record(peer.name, result)
        took_s = self._core.now() - started
        record_forward_ended(call.head.identity, peer.name, result, took_s)
        return result

    async def _send_watched(
        self, attempts: Attempts, hop: '_Hop', relay: EventRelay | None
    ) -> Forwarded:
        """Send a call; give it up if the peer freezes and another may help."""
        try:
            async with (
                asyncio.timeout(None) as limit,
                _run_beside(self._watch(attempts, hop, relay, limit)),
            ):
                return await self._client.send(
                    attempts, hop.peer, relay, is_charged=hop.is_charged
                )
        except TimeoutError:
            return Failure(Broken('the peer is frozen'))

    async def _watch(
        self,
        attempts: Attempts,
        hop: '_Hop',
        relay: EventRelay | None,
        limit: asyncio.Timeout,
    ) -> None:
        core = self._core
        while True:
            await asyncio.sleep(_WATCH_S)
            if (
                is_frozen(core.peer_table, hop.peer.name, core.now())
                and _may_try_another(attempts, relay)
                and isinstance(
                    self._choose_peer(attempts.call, hop.tried), Some
                )
            ):
                limit.reschedule(asyncio.get_running_loop().time())
                return

    def _choose_peer(
        self, call: Call, tried: Collection[str]
    ) -> Maybe[ChosenPeer]:
        core = self._core
        return choose_peer(
            core.peer_table,
            self._open,
            call.service.name,
            tried,
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Hop:
    """A hop to a peer, with the peers tried up to it.

    ``is_charged`` is whether a retry was charged to this instance's budget.
    """

    peer: ChosenPeer
    tried: frozenset[str]
    is_charged: bool


def _may_try_another(attempts: Attempts, relay: EventRelay | None) -> bool:
    """Whether a call may be sent once more though the peer may have run it."""
    route = attempts.call.route
    has_runs_left = (
        not route.max_attempts or attempts.runs + 1 < route.max_attempts
    )
    may_go_on = route.resumable or not _has_begun(relay)
    return route.repeatable and may_go_on and has_runs_left


def _handle_result(
    attempts: Attempts,
    peer: ChosenPeer,
    relay: EventRelay | None,
    result: Forwarded,
) -> web.StreamResponse | None:
    """Return the final answer; None if another peer may be tried."""
    match result:
        case Success(answer):
            return answer
        case Failure(NeverWritten() | Refused()):
            return None
        case Failure(outcome):
            # The next peer charges its own budget for the retry.
            problem = attempts.handle_failure(
                outcome,
                delivered=_has_begun(relay),
                budget=DeferredBudget(),
                peer=peer.name,
            )
            return problem and _abandon(attempts, problem, relay)
    raise AssertionError('a result is a success or a failure')


def _abandon(
    attempts: Attempts, problem: Problem, relay: EventRelay | None
) -> web.StreamResponse:
    """Return an error response, or abort the stream if it has begun."""
    answer = attempts.abandon(problem, delivered=_has_begun(relay))
    aborted = relay.abort_stream() if relay else None
    return aborted or answer


def _has_begun(relay: EventRelay | None) -> bool:
    return relay is not None and relay.begun
