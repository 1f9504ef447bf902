"""The way of a request from admission to its answer."""

from typing import final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import RateLimiter
from verbenahall.errors import Problem
from verbenahall.front._answers import REQUEST_ID, answer_problem
from verbenahall.front._attempts import Attempts
from verbenahall.front._fleet import FleetView
from verbenahall.front._messages import Answered, Call, Head, ModelCall
from verbenahall.front._dependencies import Parts
from verbenahall.front._progress import Progress
from verbenahall.front._relay import Relay
from verbenahall.front._senders import (
    PlainSender,
    ServiceSender,
    StreamSender,
)
from verbenahall.journal import write_decision


@final
class Flow:
    """Admits a request, runs its attempts and answers the caller."""

    def __init__(
        self,
        parts: Parts,
        fleet: FleetView,
        gate: RateLimiter,
        attempts: Attempts,
    ) -> None:
        """Keep the rooms that a request passes through."""
        self._parts = parts
        self._fleet = fleet
        self._gate = gate
        self._attempts = attempts
        self._relays: set[Relay] = set()

    async def take(
        self,
        lane: str,
        call: Call,
        request: web.Request,
    ) -> web.StreamResponse:
        """Answer a request of a lane (``model:name``, ``service:name``)."""
        progress = Progress(call)
        ticket = call.head.ticket
        checked = self._fleet.check(progress.wanted)
        if isinstance(checked, Success):
            self._tell_arrival(call)
            checked = await self._gate.enter(lane, ticket)
        if isinstance(checked, Failure):
            return self._answer_failure(call.head, checked.failure())
        waited = self._parts.clock() - call.head.received
        metrics.QUEUE_SECONDS.observe(waited)
        try:
            return await self._serve(progress, call, request)
        finally:
            self._gate.leave(lane, ticket)

    def drop_stalled(self, longest_s: float) -> None:
        """Let go of callers that have not read for so long."""
        now = self._parts.clock()
        for relay in tuple(self._relays):
            relay.drop_if_stalled(now, longest_s)

    def _tell_arrival(self, call: Call) -> None:
        """Count the request as demand, whether or not it is shed.

        Models that nobody serves are not counted: their names come from
        callers and would fill the memory.
        """
        if isinstance(call, ModelCall):
            self._parts.arrived(
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
                sender = PlainSender(self._parts.adapters.engines, call)
            case _:
                sender = ServiceSender(self._parts.adapters.services, call)
        found = await self._attempts.run(progress, sender)
        return self._answer(call.head, found)

    async def _relay(
        self,
        progress: Progress,
        call: ModelCall,
        request: web.Request,
    ) -> web.StreamResponse:
        """Run a streamed request; the caller learns how it ended."""
        head = call.head
        relay = Relay(request, head.request, head.received, self._parts.clock)
        engines = self._parts.adapters.engines
        sender = StreamSender(engines, progress, call, relay, self._fleet)
        self._relays.add(relay)
        try:
            found = await self._attempts.run(progress, sender)
        finally:
            self._relays.discard(relay)
        if isinstance(found, Success):
            metrics.REQUESTS.add(str(head.ticket.priority), 'ok')
            return found.unwrap()
        answer = self._answer_failure(head, found.failure())
        if relay.response is None:
            return answer
        return await relay.fail(found.failure())

    def _answer(
        self,
        head: Head,
        found: Result[Answered, Problem],
    ) -> web.StreamResponse:
        if isinstance(found, Failure):
            return self._answer_failure(head, found.failure())
        answered = found.unwrap()
        metrics.REQUESTS.add(str(head.ticket.priority), 'ok')
        metrics.FIRST_TOKEN_SECONDS.observe(
            self._parts.clock() - head.received,
        )
        return web.Response(
            status=answered.status,
            body=answered.body,
            headers={
                'Content-Type': answered.content_type,
                REQUEST_ID: head.request,
            },
        )

    def _answer_failure(self, head: Head, problem: Problem) -> web.Response:
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
        return answer_problem(problem, head.request)
