"""Entry point of requests: route, limits, deadline, then a request flow."""

import asyncio
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.catalog import RouteKind, pick_service
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._admission import (
    Admission,
    RequestAdmitter,
    read_host,
)
from verbenahall.gateway._answers import build_problem_response
from verbenahall.gateway._core import Core
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._limits import read_limited_body
from verbenahall.gateway._messages import Call
from verbenahall.gateway._plain_flow import PlainFlow
from verbenahall.gateway._sender import Sender
from verbenahall.gateway._stream_flow import StreamFlow
from verbenahall.platform import OPERATOR_TOPIC, RequestHead, read_request_head
from verbenahall.quarantine import find_quarantine_s, make_fingerprint
from verbenahall.requests import build_quarantine_problem
from verbenahall.shutdown import GracefulStop

#: Retry-After of a stopping instance, in seconds: callers may retry at once,
#: as the balancer sends them to another instance.
_STOPPING_RETRY_AFTER_S: Final = 0.05


@final
class Ingress:
    """Handles callers' requests; each one is answered exactly once."""

    __slots__ = ('_admitter', '_core', '_dispatch', '_sender', '_stop')

    def __init__(
        self,
        core: Core,
        stop: GracefulStop,
        dispatch: Dispatch,
        admitter: RequestAdmitter,
    ) -> None:
        """Route by the state of ``core``, until ``stop`` ends the process."""
        self._core = core
        self._admitter = admitter
        self._stop = stop
        self._sender = Sender(core)
        self._dispatch = dispatch

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one request."""
        received = self._core.now()
        head = read_request_head(request.headers)
        match await self._accept(request, head, received):
            case Failure(problem):
                self._log_refused(request, head, problem)
                return build_problem_response(problem, head.identity)
            case Success(call):
                return await self._run(request, call)
        raise AssertionError('a result is a success or a failure')

    async def _run(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        self._log_accepted(call)
        self._core.get_retry_budget(call.service.name).record_request()
        try:
            response = await self._start_flow(request, call)
        except (ConnectionError, asyncio.CancelledError):
            self._log_answered(call, 'caller_gone')
            raise
        self._log_answered(call, str(response.status))
        return response

    async def _start_flow(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        if call.route.kind is RouteKind.STREAM and call.service.engine:
            flow = StreamFlow(self._core, self._sender, call, request)
            return await flow.run(self._dispatch)
        return await PlainFlow(self._core, self._sender, call).run()

    def _log_accepted(self, call: Call) -> None:
        belief_s = self._core.find_age(call.received)
        metrics.FLEET_STATE_AGE_SECONDS.observe(belief_s)
        journal.write_decision(
            'accepted',
            request=call.head.identity,
            fingerprint=call.fingerprint,
            route=call.route.name,
            subject=call.head.work.affinity_key,
            priority=call.priority,
            workspace=call.workspace.name if call.workspace else None,
            service=call.service.name,
            version=call.version,
            belief_s=journal.round_to_ms(belief_s),
            left_s=journal.round_to_ms(call.left_s(call.received)),
            waited_s=journal.round_to_ms(call.waited_s),
            objective_s=call.route.objective_s,
            prompt=call.head.work.prompt_tokens,
            output=call.head.work.output_tokens,
        )

    def _log_answered(self, call: Call, outcome: str) -> None:
        journal.write_decision(
            'answered',
            request=call.head.identity,
            outcome=outcome,
            took_s=journal.round_to_ms(self._core.now() - call.received),
        )
        metrics.REQUESTS.add(str(call.priority), outcome)

    async def _accept(
        self,
        request: web.Request,
        head: RequestHead,
        received: float,
    ) -> Result[Call, Problem]:
        if self._stop.finishing:
            # The process only finishes its open requests. A new one can still
            # arrive on an idle connection from before the stop; its stream
            # would be cut off at the end of the grace period.
            return Failure(
                Problem(
                    ErrorKind.NOT_READY,
                    'the instance is stopping',
                    retry_after_s=_STOPPING_RETRY_AFTER_S,
                ),
            )
        await self._core.freshness[OPERATOR_TOPIC].wait_usable()
        found = await self._admitter.admit(request, head)
        match found:
            case Success(admission):
                return await self._read(request, head, received, admission)
            case _:
                return found

    async def _read(
        self,
        request: web.Request,
        head: RequestHead,
        received: float,
        admission: Admission,
    ) -> Result[Call, Problem]:
        catalog, route = admission.catalog, admission.route
        read = await read_limited_body(request, catalog.limits)
        if isinstance(read, Failure):
            return read
        body = read.unwrap()
        service = catalog.services.get(pick_service(route, self._core.random))
        if service is None:
            message = 'the service of the route is not in the manifest'
            return Failure(Problem(ErrorKind.NO_ENDPOINT, message, Ran.NO))
        wait_s = route.timeout_s
        waited_s: float = 0
        if head.wait_s is not None:
            wait_s = min(wait_s, head.wait_s)
            waited_s = self._core.earlier_waits.estimate(
                route.name, wait_s, received
            )
        return self._check_quarantine(
            Call(
                head=head,
                route=route,
                service=service,
                version=catalog.version,
                method=request.method,
                path=request.raw_path,
                raw_headers=request.raw_headers,
                body=body,
                received=received,
                deadline=received + wait_s,
                waited_s=waited_s,
                fingerprint=make_fingerprint(
                    request.method,
                    read_host(request),
                    request.raw_path,
                    body,
                ),
                workspace=admission.workspace,
            ),
        )

    def _check_quarantine(self, call: Call) -> Result[Call, Problem]:
        """Refuse a quarantined call, which would not be sent anyway."""
        left_s = find_quarantine_s(
            self._core.crash_log,
            call.fingerprint,
            call.received,
        )
        if left_s:
            return Failure(build_quarantine_problem(left_s))
        return Success(call)

    def _log_refused(
        self,
        request: web.Request,
        head: RequestHead,
        problem: Problem,
    ) -> None:
        journal.write_decision(
            'refused',
            request=head.identity,
            host=request.headers.get('Host', ''),
            path=request.raw_path,
            subject=head.work.affinity_key,
            kind=problem.kind.value,
            reason=problem.message,
        )
