"""Lets peers serve requests for which this instance has no endpoint."""

from typing import Final, final

from aiohttp import web
from returns.maybe import Maybe, Some
from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.forwarding import (
    ChosenPeer,
    Hop,
    OpenForwards,
    PeerCandidate,
    choose_least_busy,
    record_forward_ended,
    record_forwarded,
)
from verbenahall.front._dependencies import FrontDependencies, PeerAccess
from verbenahall.front._hops import HopClient
from verbenahall.front._progress import Progress, adjust_problem
from verbenahall.front._relay import StreamRelay
from verbenahall.requests import (
    DeferredBudget,
    GiveUp,
    NeverWritten,
    Outcome,
    Refused,
    RetryContext,
    decide_retry,
)

#: Peers that are tried for one request at most.
_MAX_PEERS: Final = 3


@final
class PeerForwarder:
    """Forwards requests to peers, one hop at most."""

    __slots__ = ('_client', '_dependencies', '_name', '_open', '_peers')

    def __init__(
        self,
        name: str,
        dependencies: FrontDependencies,
        peers: PeerAccess,
        open_forwards: OpenForwards,
    ) -> None:
        """Forward in the name of the instance ``name``."""
        self._client = HopClient(peers.sessions, dependencies.clock)
        self._dependencies = dependencies
        self._name = name
        self._open = open_forwards
        self._peers = peers

    async def run(
        self, progress: Progress, relay: StreamRelay | None
    ) -> Result[web.StreamResponse, Problem]:
        """Return the answer of a peer, or why there is none."""
        tried: set[str] = set()
        hop = self._make_hop(progress)
        while len(tried) < _MAX_PEERS:
            chosen = self._choose_peer(tried)
            if not isinstance(chosen, Some):
                break
            peer = chosen.unwrap()
            tried.add(peer.name)
            result = await self._send_once(progress, peer, hop, relay)
            if isinstance(result, Success):
                return result
            problem = self._handle_failure(progress, result.failure(), relay)
            if problem is not None:
                return Failure(problem)
            hop = self._make_hop(progress)
        message = 'no endpoint is available here or at a peer'
        problem = Problem(ErrorKind.NO_ENDPOINT, message, Ran.NO)
        return Failure(adjust_problem(problem, progress))

    async def _send_once(
        self,
        progress: Progress,
        peer: ChosenPeer,
        hop: Hop,
        relay: StreamRelay | None,
    ) -> Result[web.StreamResponse, Outcome]:
        head = progress.call.head
        progress.attempts += 1
        started = self._dependencies.clock()
        left_s = head.deadline - started
        record_forwarded(head.request, peer.name, hop.service, left_s)
        self._open.begin(peer.name)
        try:
            result = await self._client.send(peer, progress.call, hop, relay)
        finally:
            self._open.end(peer.name)
        took_s = self._dependencies.clock() - started
        record_forward_ended(head.request, peer.name, result, took_s)
        return result

    def _handle_failure(
        self, progress: Progress, outcome: Outcome, relay: StreamRelay | None
    ) -> Problem | None:
        """Return the final problem; None if another peer may be tried."""
        if isinstance(outcome, NeverWritten | Refused):
            return None
        context = RetryContext(
            repeatable=progress.call.repeatable,
            deadline=progress.call.head.deadline,
            attempts=progress.attempts,
            delivered=relay is not None and relay.response is not None,
            may_have_run_before=progress.may_have_run,
        )
        progress.may_have_run = True
        # The next peer charges its own budget for the retry.
        step = decide_retry(
            outcome,
            context,
            DeferredBudget(),
            self._dependencies.rng,
            self._dependencies.clock(),
        )
        return step.problem if isinstance(step, GiveUp) else None

    def _choose_peer(self, tried: set[str]) -> Maybe[ChosenPeer]:
        return choose_least_busy(
            (
                PeerCandidate(
                    peer.name,
                    peer.address,
                    is_local=self._peers.is_local(peer),
                )
                for peer in self._peers.list_live()
                if peer.name not in tried
            ),
            self._open,
            self._dependencies.rng,
        )

    def _make_hop(self, progress: Progress) -> Hop:
        service, model, _ = progress.requirement
        return Hop(
            author=self._name,
            version=self._dependencies.read_position(),
            service=service or model,
            runs=progress.attempts if progress.may_have_run else 0,
            is_charged=not progress.may_have_run,
            is_counted=progress.is_counted,
        )
