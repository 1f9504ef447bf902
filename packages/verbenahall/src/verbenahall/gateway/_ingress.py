"""Entry point of requests: route, limits, deadline, then a request flow."""

import asyncio
import dataclasses
from typing import final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.catalog import RouteKind
from verbenahall.errors import ErrorKind, Problem
from verbenahall.forwarding import Hop
from verbenahall.gateway._answer_ends import (
    AnswerEnd,
    classify_exception,
    record_end,
)
from verbenahall.gateway._answers import build_problem_response
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._call_reader import CallReader
from verbenahall.gateway._core import Core
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._messages import Call
from verbenahall.gateway._plain_flow import PlainFlow
from verbenahall.gateway._sender import Sender
from verbenahall.gateway._stream_flow import StreamFlow
from verbenahall.platform import RequestHead, read_request_head
from verbenahall.requests import build_stopping_problem
from verbenahall.shutdown import CUT_MESSAGE, GracefulStop, may_answer


@final
class Ingress:
    """Handles callers' requests; each one is answered exactly once."""

    __slots__ = ('_core', '_dispatch', '_reader', '_sender', '_stop')

    def __init__(
        self,
        core: Core,
        stop: GracefulStop,
        dispatch: Dispatch,
        reader: CallReader,
    ) -> None:
        """Route by the state of ``core``, until ``stop`` ends the process."""
        self._core = core
        self._reader = reader
        self._stop = stop
        self._sender = Sender(core)
        self._dispatch = dispatch

    async def handle(
        self, request: web.Request, hop: Hop | None = None
    ) -> web.StreamResponse:
        """Handle one request; ``hop`` describes it if a peer forwarded it."""
        try:
            return await self._handle(request, hop)
        except asyncio.CancelledError:
            if not (self._stop.state.cutting and may_answer(request)):
                raise
        # Its body has not ended.
        head = read_request_head(request.headers)
        return build_problem_response(build_stopping_problem(), head.identity)

    async def _handle(
        self, request: web.Request, hop: Hop | None
    ) -> web.StreamResponse:
        received = self._core.now()
        head = read_request_head(request.headers)
        match await self._accept(request, head, received, hop):
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
        attempts = Attempts(self._core, self._count(call))
        try:
            response = await self._start_flow(request, attempts)
        except BaseException as error:
            if not self._may_answer_cut(request, error):
                self._record_exception(call, request, error)
                raise
            response = attempts.abandon(_build_cut_problem(attempts))
        record_end(
            call,
            request,
            str(response.status),
            attempts.end,
            self._core.now() - call.received,
            reason=attempts.reason,
        )
        if attempts.end is AnswerEnd.WHOLE:
            took_s = self._core.now() - call.received
            self._core.run_times.record(call.route.name, took_s)
        return response

    def _may_answer_cut(
        self, request: web.Request, error: BaseException
    ) -> bool:
        """Whether a request that the stop cuts off can be answered."""
        is_cancelled = isinstance(error, asyncio.CancelledError)
        return is_cancelled and self._stop.state.cutting and may_answer(request)

    def _count(self, call: Call) -> Call:
        """Count a call in the retry budget, unless a peer counts it."""
        service = call.service.name
        if call.is_counted or self._core.reach.is_lost(service):
            return call
        self._core.get_retry_budget(service).record_request()
        return dataclasses.replace(call, is_counted=True)

    async def _start_flow(
        self,
        request: web.Request,
        attempts: Attempts,
    ) -> web.StreamResponse:
        call = attempts.call
        if call.route.kind is RouteKind.STREAM and call.service.engine:
            flow = StreamFlow(self._core, self._sender, attempts, request)
            return await flow.run(self._dispatch)
        return await PlainFlow(self._core, self._sender, attempts).run()

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
            forwarded_by=call.hop.author if call.hop else None,
            after_event=call.head.last_event,
            resumes=call.head.resumes or None,
            objective_s=call.route.objective_s,
            prompt=call.head.work.prompt_tokens,
            output=call.head.work.output_tokens,
        )

    def _record_exception(
        self, call: Call, request: web.Request, error: BaseException
    ) -> None:
        """Log and count a request that gets no whole answer."""
        now = self._core.now()
        end = classify_exception(
            call, request, error, now, is_cut=self._stop.state.cutting
        )
        outcome = 'caller_gone' if end is AnswerEnd.CALLER_LEFT else 'failed'
        record_end(
            call,
            request,
            outcome,
            end,
            now - call.received,
            reason=repr(error),
        )

    async def _accept(
        self,
        request: web.Request,
        head: RequestHead,
        received: float,
        hop: Hop | None,
    ) -> Result[Call, Problem]:
        if self._stop.finishing:
            # The process only finishes its open requests. A new one can still
            # arrive on an idle connection from before the stop; its stream
            # would be cut off at the end of the grace period.
            return Failure(build_stopping_problem())
        read = await self._reader.read(request, head, received, hop)
        return read.bind(self._check_stop)

    def _check_stop(self, call: Call) -> Result[Call, Problem]:
        """Refuse a call that would not be answered before the process ends.

        Its body may have ended long after its head.
        """
        left_s = call.left_s(self._core.now())
        if self._core.bears(call.route.name, left_s):
            return Success(call)
        return Failure(build_stopping_problem())

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


def _build_cut_problem(attempts: Attempts) -> Problem:
    """Return the problem of a request that the end of a stop cuts off."""
    if attempts.started:
        return Problem(ErrorKind.OUTCOME_UNKNOWN, CUT_MESSAGE)
    return build_stopping_problem()
