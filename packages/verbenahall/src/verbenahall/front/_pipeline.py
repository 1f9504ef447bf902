"""Handles a request from admission to its response."""

from typing import final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import AdmissionController
from verbenahall.errors import Problem
from verbenahall.front._answers import REQUEST_ID_HEADER, build_error_response
from verbenahall.front._attempts import AttemptRunner
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._fleet import FleetView
from verbenahall.front._messages import Answered, Call, ModelCall, RequestHead
from verbenahall.front._progress import Progress
from verbenahall.front._relay import StreamRelay
from verbenahall.front._senders import (
    PlainSender,
    ServiceSender,
    StreamSender,
)
from verbenahall.journal import write_decision


@final
class RequestPipeline:
    """Admits a request, runs its attempts and builds the response."""

    def __init__(
        self,
        dependencies: FrontDependencies,
        fleet: FleetView,
        admission: AdmissionController,
        attempts: AttemptRunner,
    ) -> None:
        """Store the stages of the pipeline."""
        self._dependencies = dependencies
        self._fleet = fleet
        self._admission = admission
        self._attempts = attempts
        self._relays: set[StreamRelay] = set()

    async def handle(
        self,
        lane: str,
        call: Call,
        request: web.Request,
    ) -> web.StreamResponse:
        """Handle a request of a lane (``model:name`` or ``service:name``)."""
        progress = Progress(call)
        ticket = call.head.ticket
        checked = self._fleet.check(progress.requirement)
        if isinstance(checked, Success):
            self._record_demand(call)
            checked = await self._admission.acquire(lane, ticket)
        if isinstance(checked, Failure):
            return self._build_failure(call.head, checked.failure())
        waited = self._dependencies.clock() - call.head.received_at
        metrics.QUEUE_SECONDS.observe(waited)
        try:
            return await self._serve(progress, call, request)
        finally:
            self._admission.release(lane, ticket)

    def abort_stalled(self, max_stall_s: float) -> None:
        """Disconnect callers that have read nothing for ``max_stall_s``."""
        now = self._dependencies.clock()
        for relay in tuple(self._relays):
            relay.abort_if_stalled(now, max_stall_s)

    def _record_demand(self, call: Call) -> None:
        """Count a model request as demand, even if admission sheds it later.

        It is called only for models that an endpoint serves. Callers may send
        any other name, and an entry for each would fill the memory.
        """
        if isinstance(call, ModelCall):
            self._dependencies.record_demand(
                call.model,
                call.prompt_tokens,
                call.output_tokens,
            )

    async def _serve(
        self,
        progress: Progress,
        call: Call,
        request: web.Request,
    ) -> web.StreamResponse:
        match call:
            case ModelCall(stream=True):
                return await self._relay(progress, call, request)
            case ModelCall():
                sender = PlainSender(self._dependencies.adapters.engines, call)
            case _:
                sender = ServiceSender(
                    self._dependencies.adapters.services, call
                )
        result = await self._attempts.run(progress, sender)
        return self._build_response(call.head, result)

    async def _relay(
        self,
        progress: Progress,
        call: ModelCall,
        request: web.Request,
    ) -> web.StreamResponse:
        """Run a streamed request.

        A failure after the first token is sent as an error event.
        """
        head = call.head
        relay = StreamRelay(
            request, head.request, head.received_at, self._dependencies.clock
        )
        engines = self._dependencies.adapters.engines
        sender = StreamSender(engines, progress, call, relay, self._fleet)
        self._relays.add(relay)
        try:
            result = await self._attempts.run(progress, sender)
        finally:
            self._relays.discard(relay)
        if isinstance(result, Success):
            metrics.REQUESTS.add(str(head.ticket.priority), 'ok')
            return result.unwrap()
        error_response = self._build_failure(head, result.failure())
        if relay.response is None:
            return error_response
        return await relay.send_error(result.failure())

    def _build_response(
        self,
        head: RequestHead,
        result: Result[Answered, Problem],
    ) -> web.StreamResponse:
        if isinstance(result, Failure):
            return self._build_failure(head, result.failure())
        answered = result.unwrap()
        metrics.REQUESTS.add(str(head.ticket.priority), 'ok')
        metrics.FIRST_TOKEN_SECONDS.observe(
            self._dependencies.clock() - head.received_at,
        )
        return web.Response(
            status=answered.status,
            body=answered.body,
            headers={
                'Content-Type': answered.content_type,
                REQUEST_ID_HEADER: head.request,
            },
        )

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
