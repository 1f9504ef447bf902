"""Handles a request from admission to its response."""

import functools
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import AdmissionController
from verbenahall.errors import Problem, Ran
from verbenahall.forwarding import Hop
from verbenahall.front._answers import REQUEST_ID_HEADER, build_error_response
from verbenahall.front._attempts import AttemptRunner
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._fleet import FleetView, is_lost
from verbenahall.front._forwarder import PeerForwarder
from verbenahall.front._messages import Answered, Call, ModelCall, RequestHead
from verbenahall.front._progress import Progress
from verbenahall.front._race import AT_PEER
from verbenahall.front._relay import StreamRelay, claim_nothing
from verbenahall.front._senders import (
    PlainSender,
    ServiceSender,
    StreamSender,
)
from verbenahall.journal import write_decision
from verbenahall.requests import Broken, Outcome

_HELD: Final = web.ResponseKey('held', object)
#: Statuses of an instance's own failures. From endpoints they are no answers,
#: so here they come from peers.
_FAILED_AT_PEER: Final = frozenset((500, 502, 503, 504))


@final
class RequestPipeline:
    """Admits a request, runs its attempts and builds the response."""

    def __init__(
        self,
        dependencies: FrontDependencies,
        fleet: FleetView,
        admission: AdmissionController,
        attempts: AttemptRunner,
        forwarder: PeerForwarder | None,
    ) -> None:
        """Store the stages of the pipeline."""
        self._dependencies = dependencies
        self._fleet = fleet
        self._admission = admission
        self._attempts = attempts
        self._forwarder = forwarder
        self._relays: set[StreamRelay] = set()

    async def handle(
        self,
        lane: str,
        call: Call,
        request: web.Request,
        hop: Hop | None = None,
    ) -> web.StreamResponse:
        """Handle a request of a lane (``model:name`` or ``service:name``).

        ``hop`` is what a peer states that has forwarded the request.
        """
        progress = Progress(call)
        progress.transport = request.transport
        progress.is_counted = hop is not None and hop.is_counted
        forwarder = None if hop else self._forwarder
        relay = self._make_relay(call, request)
        if relay is not None:
            self._relays.add(relay)
        if forwarder is not None:
            progress.forward = functools.partial(
                _forward_beside, forwarder, progress, relay
            )
        try:
            result = await self._run(lane, progress, relay, forwarder)
        finally:
            self._relays.discard(relay)
            # It refers to the progress; the body would stay in memory.
            progress.forward = None
        if isinstance(result, Success):
            dependencies = self._dependencies
            took_s = dependencies.clock() - call.head.received_at
            dependencies.record_run(call.target_name, took_s)
        return await self._finish(call.head, relay, result)

    def abort_stalled(self, max_stall_s: float) -> None:
        """Disconnect callers that have read nothing for ``max_stall_s``."""
        now = self._dependencies.clock()
        for relay in tuple(self._relays):
            relay.abort_if_stalled(now, max_stall_s)

    async def _run(
        self,
        lane: str,
        progress: Progress,
        relay: StreamRelay | None,
        forwarder: PeerForwarder | None,
    ) -> Result[web.StreamResponse, Problem]:
        result = await self._serve(lane, progress, relay)
        if forwarder and self._may_forward(progress, relay, result):
            return await forwarder.run(progress, relay)
        return result

    def _may_forward(
        self,
        progress: Progress,
        relay: StreamRelay | None,
        result: Result[web.StreamResponse, Problem],
    ) -> bool:
        """Whether a peer may serve a request that no endpoint here can.

        A peer would take a claim of the request's key for a duplicate, and a
        stream that has begun cannot be continued by it.
        """
        if isinstance(result, Success) or progress.claim_offset is not None:
            return False
        if relay is not None and relay.response is not None:
            return False
        left_s = progress.call.head.deadline - self._dependencies.clock()
        is_safe = (
            result.failure().answer.ran is Ran.NO or progress.call.repeatable
        )
        return (
            is_safe
            and left_s > 0
            and is_lost(self._fleet, progress.requirement)
        )

    def _record_demand(self, progress: Progress) -> None:
        """Count a model request as demand, even if admission sheds it later.

        It is called only for models that an endpoint serves. Callers may send
        any other name, and an entry for each would fill the memory.
        """
        call = progress.call
        if isinstance(call, ModelCall) and not progress.is_counted:
            self._dependencies.record_demand(
                call.model,
                call.prompt_tokens,
                call.output_tokens,
            )
        progress.is_counted = True

    async def _serve(
        self, lane: str, progress: Progress, relay: StreamRelay | None
    ) -> Result[web.StreamResponse, Problem]:
        """Admit a request and run its attempts at endpoints."""
        head = progress.call.head
        checked = self._fleet.check(progress.requirement)
        if isinstance(checked, Success):
            self._record_demand(progress)
            checked = await self._admission.acquire(lane, head.ticket)
        if isinstance(checked, Failure):
            return checked
        metrics.QUEUE_SECONDS.observe(
            self._dependencies.clock() - head.received_at
        )
        try:
            return await self._attempt(progress, relay)
        finally:
            self._admission.release(lane, head.ticket)

    async def _attempt(
        self, progress: Progress, relay: StreamRelay | None
    ) -> Result[web.StreamResponse, Problem]:
        call = progress.call
        adapters = self._dependencies.adapters
        match call:
            case ModelCall() if relay is not None:
                return await self._attempts.run(
                    progress,
                    StreamSender(
                        adapters.engines, progress, call, relay, self._fleet
                    ),
                )
            case ModelCall():
                sender = PlainSender(adapters.engines, call)
            case _:
                sender = ServiceSender(adapters.services, call)
        result = await self._attempts.run(progress, sender)
        return result.map(functools.partial(_build_response, call.head))

    def _make_relay(
        self, call: Call, request: web.Request
    ) -> StreamRelay | None:
        match call:
            case ModelCall(stream=True):
                return StreamRelay(
                    request,
                    call.head.request,
                    call.head.received_at,
                    self._dependencies.clock,
                )
            case _:
                return None

    async def _finish(
        self,
        head: RequestHead,
        relay: StreamRelay | None,
        result: Result[web.StreamResponse, Problem],
    ) -> web.StreamResponse:
        """Return the response; a begun stream ends with an error event."""
        if isinstance(result, Failure):
            error_response = self._build_failure(head, result.failure())
            if relay is None or relay.response is None:
                return error_response
            return await relay.send_error(result.failure())
        response = result.unwrap()
        outcome = 'peer_failed' if response.status in _FAILED_AT_PEER else 'ok'
        metrics.REQUESTS.add(str(head.ticket.priority), outcome)
        if relay is None:
            metrics.FIRST_TOKEN_SECONDS.observe(
                self._dependencies.clock() - head.received_at,
            )
        return response

    def _build_failure(
        self, head: RequestHead, problem: Problem
    ) -> web.Response:
        kind = problem.kind.value
        metrics.REQUESTS.add(str(head.ticket.priority), kind)
        write_decision(
            'give_up',
            request=head.request,
            workspace=head.ticket.workspace,
            kind=kind,
            ran=problem.answer.ran.value,
            message=problem.message,
        )
        return build_error_response(problem, head.request)


async def _forward_beside(
    forwarder: PeerForwarder, progress: Progress, relay: StreamRelay | None
) -> Result[web.StreamResponse, Outcome]:
    """Let a peer serve a request whose endpoint here may still answer it."""
    if relay is not None:
        relay.claim = functools.partial(_claim_for_peer, progress)
    try:
        result = await forwarder.run(progress, relay)
    finally:
        if relay is not None:
            relay.claim = claim_nothing
    match result:
        case Success(response) if response.status in _FAILED_AT_PEER:
            return Failure(Broken(f'status {response.status}', answered=True))
        case Failure(problem):
            return Failure(Broken(problem.message))
    return result


def _claim_for_peer(progress: Progress) -> None:
    progress.claim(AT_PEER)
    progress.begun_at_peer = True


def _build_response(
    head: RequestHead, answered: Answered | web.StreamResponse
) -> web.StreamResponse:
    if isinstance(answered, web.StreamResponse):
        return answered
    response = web.Response(
        status=answered.status,
        body=answered.body,
        headers={
            'Content-Type': answered.content_type,
            REQUEST_ID_HEADER: head.request,
        },
    )
    # Counted until the response is written.
    response[_HELD] = answered.held
    return response
