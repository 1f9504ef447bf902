"""Attempts at a model request: prefill on one engine, decode on another."""

import functools
from http import HTTPStatus
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal
from verbenahall.errors import ErrorKind, Problem
from verbenahall.gateway._answers import build_answer_response
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._engine_hedges import EngineHedges
from verbenahall.gateway._generation import Generated, Generation
from verbenahall.gateway._grants import Grant, UnqueuedGrant
from verbenahall.gateway._messages import Answered, StreamEnded
from verbenahall.gateway._prefill_calls import (
    CacheHandle,
    PrefillCalls,
    classify_prefill_failure,
)
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._retry_charge import RetryCharge
from verbenahall.gateway._sender import Sender
from verbenahall.gateway._stream_placement import (
    is_lacking,
    make_gone_problem,
    place_unqueued,
)
from verbenahall.gateway._shortages import await_slow_start, find_cause
from verbenahall.hedging import Branch, Stage
from verbenahall.placement import PlacementRequest, Plan
from verbenahall.requests import (
    BackingOff,
    Broken,
    Limited,
    NeverWritten,
    Outcome,
    Refused,
    TimedOut,
    Unprepared,
)
from verbenahall.roster import Entry

#: The response that was relayed to the caller, or why there is none.
StreamResult = Result[web.StreamResponse, Problem]

#: Refusals by decode engines after which the KV cache handle is dropped: the
#: fault may lie with the engine that holds it rather than with theirs.
_MAX_HANDLE_REFUSALS: Final = 2


@final
class StreamBranch:
    """A branch of a model request, from placement to the end of its stream.

    Its result is the response that was relayed, or why the branch gave up;
    then the caller's connection is as it was.
    """

    __slots__ = (
        '_attempts',
        '_branch',
        '_call',
        '_charge',
        '_core',
        '_generation',
        '_grant',
        '_hedges',
        '_kv_handle',
        '_prefills',
        '_refusals',
        '_relay',
    )

    def __init__(
        self,
        core: Core,
        sender: Sender,
        attempts: Attempts,
        relay: EventRelay,
        branch: Branch,
    ) -> None:
        """Store the arguments; nothing is sent before ``run``."""
        self._attempts = attempts
        self._branch = branch
        self._call = attempts.call
        self._charge = RetryCharge(
            core.get_retry_budget(attempts.call.service.name)
        )
        self._core = core
        self._generation = Generation(core, sender, attempts, relay, branch)
        self._grant: Grant | None = None
        self._hedges = EngineHedges(core, attempts, relay)
        self._kv_handle: CacheHandle | None = None
        self._prefills = PrefillCalls(core, sender, branch)
        self._refusals = 0
        self._relay = relay

    async def run(self, dispatch: Dispatch) -> StreamResult:
        """Make attempts until the stream ends or the branch gives up."""
        try:
            return await self._run(dispatch)
        finally:
            self._release()

    async def _run(self, dispatch: Dispatch) -> StreamResult:
        ended: StreamResult | None = None
        forwarder = self._core.forwarder
        while ended is None:
            self._branch.enter(Stage.PREPARING)
            if await forwarder.should_forward(self._attempts):
                return await forwarder.run(
                    self._attempts, self._branch, self._relay
                )
            match await self._await_admission(dispatch):
                case Success(grant):
                    self._grant = grant
                    self._charge.settle(self._count_sends(grant.plan))
                    self._log_placement(grant.plan)
                    result = await self._execute_plan(grant)
                    ended = await self._handle_result(grant.plan, result)
                case Failure(problem):
                    self._charge.settle(0)
                    ended = await self._handle_no_admission(problem)
        return ended

    def _count_sends(self, plan: Plan) -> int:
        """Return the number of sends that an attempt by this plan takes."""
        has_prefill_call = plan.prefill_engine and not self._kv_handle
        return 2 if has_prefill_call else 1

    async def _handle_no_admission(
        self, problem: Problem
    ) -> StreamResult | None:
        """Return the result; None if an engine is available again."""
        version = self._relay.state.version
        if problem.kind is ErrorKind.NO_ENDPOINT and version is not None:
            # No engine of the version is left, or none that accepts requests.
            return Failure(make_gone_problem(self._core, self._call, version))
        if problem.kind is ErrorKind.NO_ENDPOINT:
            if await await_slow_start(
                self._core, self._call, self._attempts.tried
            ):
                return None
            problem = find_cause(self._core, self._call, problem)
        return Failure(problem)

    async def _await_admission(
        self, dispatch: Dispatch
    ) -> Result[Grant, Problem]:
        """Wait in the prefill queue, unless the prompt was prefilled before.

        A request that may have run, or part of whose answer was delivered,
        isn't queued: a refusal by the queue would state that the request has
        not run, and its caller already waits for the next event. Nor is one
        that was admitted before, and whose other branch is silent.
        """
        has_run = self._attempts.runs or self._relay.begun
        if self._kv_handle or has_run or not self._branch.is_alone:
            return self._place().map(UnqueuedGrant)
        placement_request = PlacementRequest(
            self._call.head.work,
            self._call.route.gap_s,
            priority=self._call.priority,
            version=self._relay.state.version,
        )
        tried = frozenset(self._attempts.tried)
        admitted = await dispatch.admit(self._call, placement_request, tried)
        if is_lacking(admitted) and placement_request.version is not None:
            # The engines of the version that are avoided are its only ones.
            return self._place().map(UnqueuedGrant)
        return admitted

    async def _handle_result(
        self,
        plan: Plan,
        result: Generated,
    ) -> StreamResult | None:
        """Return the result of the branch; None for another attempt."""
        match result:
            case Failure(outcome):
                return self._handle_failure(plan, outcome)
            case Success(done):
                self._kv_handle = None
                return await self._finish(done)
        raise AssertionError('a result is a success or a failure')

    def _place(self) -> Result[Plan, Problem]:
        return place_unqueued(
            self._core,
            self._call,
            PlacementRequest(
                self._call.head.work,
                self._call.route.gap_s,
                self._kv_handle.engine if self._kv_handle else None,
                self._call.priority,
                self._relay.state.version,
                must_split=not (self._branch.is_alone or self._attempts.runs),
            ),
            self._attempts.tried,
        )

    async def _execute_plan(self, grant: Grant) -> Generated:
        """Prefill and decode by the plan; keep the handle if it is unused."""
        self._attempts.started += 1
        grant.start()
        plan = grant.plan
        call = self._call
        started = self._core.now()
        if self._kv_handle is None:
            self._core.demand.record_plan(
                call.service, plan, call.head.work, started
            )
        if plan.prefill_engine is not None and self._kv_handle is None:
            self._branch.may_hedge = functools.partial(
                self._hedges.may_hedge, plan.prefill_engine, executes=False
            )
            prefilled = await self._prefills.prefill(
                call, plan, plan.prefill_engine
            )
            match prefilled:
                case Failure(outcome):
                    self._attempts.tried.add(plan.prefill_engine.name)
                    await self._end_grant(grant, plan.prefill_engine, outcome)
                    return Failure(classify_prefill_failure(outcome))
                case Success(handle):
                    self._kv_handle = handle
            grant.record_prefill(self._core.now() - started)
            await self._wait_for_turn()
            plan = self._update_plan(grant)
        else:
            await self._wait_for_turn()
        return await self._generate(plan, grant)

    async def _wait_for_turn(self) -> None:
        if self._call.route.is_exclusive:
            await self._branch.wait_for_turn(
                is_unprepared=self._kv_handle is None
            )

    async def _generate(self, plan: Plan, grant: Grant) -> Generated:
        self._branch.may_hedge = functools.partial(
            self._hedges.may_hedge, plan.decode_engine, executes=True
        )
        engine = plan.decode_engine.name
        if engine in self._attempts.engaged_engines:
            # Another branch listens to it, and may still get its events.
            return Failure(NeverWritten('the engine has the request already'))
        self._attempts.engaged_engines.add(engine)
        try:
            result = await self._generation.run(plan, self._kv_handle, grant)
        finally:
            self._attempts.engaged_engines.discard(engine)
        self._attempts.record(plan.decode_engine.name, result)
        match result:
            case Failure(outcome):
                await self._end_grant(grant, plan.decode_engine, outcome)
                if not self._can_keep_handle(outcome):
                    self._drop_handle()
            case Success(StreamEnded(step_s=step_s)):
                grant.end(step_s=step_s)
            case _:
                grant.end()
        return result

    def _can_keep_handle(self, outcome: Outcome) -> bool:
        """Whether the handle can be used for the next decode engine.

        Without it the whole prompt is prefilled again. An engine that refuses
        is usually full, so one refusal doesn't invalidate the handle. After a
        second one the handle is considered unusable.
        """
        match outcome:
            case NeverWritten() | Limited() | BackingOff():
                return True
            case Refused():
                self._refusals += 1
                suspect = self._refusals >= _MAX_HANDLE_REFUSALS
                if suspect and self._kv_handle is not None:
                    # Two engines could not fetch the KV cache: the engine that
                    # holds it transfers it too slowly or not at all.
                    prefill_engine = self._kv_handle.engine.name
                    self._core.endpoint_health.record_refusal(
                        prefill_engine, self._core.now()
                    )
                return not suspect
            case _:
                return False

    def _update_plan(self, grant: Grant) -> Plan:
        """Choose the decode engine again after the prefill.

        A prefill may take seconds. Meanwhile the chosen engine may have
        started to drain, so that it must get no more work, and another one
        may have become the least busy. An engine at which a scheduler has
        reserved a place is kept as long as it is usable.
        """
        plan = grant.plan
        if grant.holds_decode:
            service = self._call.service.name
            now = self._core.now()
            usable = self._core.endpoints.list_assigned(service, now)
            if plan.decode_engine.name in {one.name for one in usable}:
                return plan
        return self._place().value_or(plan)

    async def _end_grant(
        self, grant: Grant, engine: Entry, outcome: Outcome
    ) -> None:
        """End a grant after a failure at one of its engines.

        The failure is reported with it, unless this instance has lost the path
        to all engines. An engine that changes its role or does not respond has
        little open work, and the next requests would be assigned to it.
        """
        service = self._call.service.name
        if isinstance(outcome, NeverWritten | Broken):
            await self._core.forwarder.wait_checked(service)
        if self._core.reach.is_lost(service):
            grant.end()
            return
        refused = isinstance(outcome, Refused | NeverWritten | Limited)
        failed = isinstance(outcome, Refused | Broken | TimedOut)
        if failed:
            self._core.placement.failures.record(
                engine.name, self._core.now(), failed=True
            )
        grant.end(
            refused=engine.name if refused else '',
            failed=engine.name if failed else '',
        )

    def _release(self) -> None:
        """Free the handle and end the grant."""
        self._drop_handle()
        if self._grant is not None:
            is_failed = self._branch.is_superseded
            self._grant.end(
                failed=self._hedges.silent_engine if is_failed else ''
            )

    def _drop_handle(self) -> None:
        """Free the handle if there is an unused one."""
        if self._kv_handle is not None:
            self._prefills.free_handle(self._kv_handle)
            self._kv_handle = None

    def _handle_failure(
        self,
        plan: Plan,
        outcome: Outcome,
    ) -> StreamResult | None:
        """Return the result after a failure; None for another attempt."""
        # The next attempt takes one send if only prefill or only decode is
        # repeated, and two if both are.
        prefill_failed = isinstance(outcome, Unprepared)
        send_count = 1 if self._kv_handle or prefill_failed else 2
        problem = self._attempts.handle_failure(
            outcome,
            self._branch,
            delivered=self._relay.begun,
            send_count=send_count,
            reader=plan.prefill_engine.name if plan.prefill_engine else None,
            generator=plan.decode_engine.name,
            last_event=self._relay.state.last,
        )
        if problem is None:
            self._charge.record(outcome, send_count)
            return None
        return Failure(problem)

    async def _finish(self, done: object) -> StreamResult:
        if isinstance(done, Answered):
            failed = done.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            if self._relay.begun or (failed and not self._branch.is_alone):
                # After the beginning of a stream another answer would be no
                # HTTP, and another engine may still have a better one.
                message = f'resumed with status {done.status}'
                return Failure(Problem(ErrorKind.ANSWER_TRUNCATED, message))
            return Success(build_answer_response(done))
        self._branch.enter(Stage.ANSWERING)
        response = await self._relay.finish()
        if response is None:
            # The stream ended properly without an event, so nothing can be
            # resumed.
            message = 'the stream had no events'
            return Failure(Problem(ErrorKind.ANSWER_TRUNCATED, message))
        return Success(response)

    def _log_placement(self, plan: Plan) -> None:
        journal.write_decision(
            'placed',
            request=self._call.head.identity,
            reader=plan.prefill_engine.name if plan.prefill_engine else None,
            generator=plan.decode_engine.name,
            missing=plan.missing,
            wait_s=journal.round_to_ms(plan.wait_s),
            reason=plan.reason,
            attempt=self._attempts.started + 1,
        )
