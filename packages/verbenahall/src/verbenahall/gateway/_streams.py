"""Model requests: the prompt read on one engine, generated on another."""

from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem
from verbenahall.gateway._answers import build_answer_response
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._dispatch import Dispatch
from verbenahall.gateway._events import discard_partial
from verbenahall.gateway._generation import Generated, Generation
from verbenahall.gateway._grants import Grant, UnqueuedGrant
from verbenahall.gateway._messages import Answered, Call, StreamEnded
from verbenahall.gateway._reads import KvHandle, PrefillCalls
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import Sender
from verbenahall.placement import PlacementRequest, Plan, place
from verbenahall.requests import (
    Limited,
    NeverWritten,
    Outcome,
    Quarantined,
    Refused,
    TimedOut,
    Unauthorized,
    Unprepared,
)
from verbenahall.roster import Entry

#: After so many refusals the handle may be what is refused.
_MAX_HANDLE_REFUSALS: Final = 2


@final
class StreamFlow:
    """One model request, from its placement to the end of its stream."""

    __slots__ = (
        '_core',
        '_call',
        '_relay',
        '_prefills',
        '_generation',
        '_attempts',
        '_kv_handle',
        '_grant',
        '_refusals',
    )

    def __init__(
        self,
        core: Core,
        sender: Sender,
        call: Call,
        request: web.Request,
    ) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._core = core
        self._call = call
        self._relay = EventRelay(request, call, core.now)
        self._prefills = PrefillCalls(core, sender)
        self._generation = Generation(core, sender, call, self._relay)
        self._attempts = Attempts(core, call)
        self._kv_handle: KvHandle | None = None
        self._grant: Grant | None = None
        self._refusals = 0

    async def run(self, dispatch: Dispatch) -> web.StreamResponse:
        """Send until the stream has ended or is given up."""
        try:
            return await self._run(dispatch)
        finally:
            self._release()
            metrics.ATTEMPTS.add(str(self._attempts.begun))

    async def _run(self, dispatch: Dispatch) -> web.StreamResponse:
        final_answer: web.StreamResponse | None = None
        while final_answer is None:
            match await self._await_admission(dispatch):
                case Success(grant):
                    self._grant = grant
                    self._log_placement(grant.plan)
                    result = await self._execute_plan(grant)
                    final_answer = await self._handle_result(grant.plan, result)
                case Failure(problem):
                    return self._abandon(problem)
        return final_answer

    async def _await_admission(
        self, dispatch: Dispatch
    ) -> Result[Grant, Problem]:
        """Wait for the prompt's turn to be read, unless it was read.

        A request that may have run, or that has a part of its answer, goes on
        at once: it is not to be told that it has not run, and its caller
        already waits for the next event.
        """
        if self._kv_handle or self._attempts.runs or self._relay.begun:
            return self._place().map(UnqueuedGrant)
        wanted = PlacementRequest(self._call.ask.work, self._call.route.gap_s)
        tried = frozenset(self._attempts.tried)
        return await dispatch.admit(self._call, wanted, tried)

    async def _handle_result(
        self,
        plan: Plan,
        result: Generated,
    ) -> web.StreamResponse | None:
        """Return the final answer; None for another attempt."""
        match result:
            case Failure(outcome):
                return self._handle_failure(plan, outcome)
            case Success(done):
                self._kv_handle = None
                return await self._finish(done)
        raise AssertionError('a result is a success or a failure')

    def _place(self) -> Result[Plan, Problem]:
        core = self._core
        call = self._call
        now = core.now()
        usable = core.list_usable(call.service.name, now)
        tried = self._attempts.tried
        untried = [one for one in usable if one.name not in tried]
        prefilled_by = self._kv_handle.engine if self._kv_handle else None
        return place(
            core.placement,
            PlacementRequest(call.ask.work, call.route.gap_s, prefilled_by),
            untried or usable,
            call.service.engine,
            now,
        )

    async def _execute_plan(self, grant: Grant) -> Generated:
        """Carry a plan out; a handle that nobody took is kept."""
        self._attempts.begun += 1
        grant.start()
        plan = grant.plan
        if plan.reader is not None and self._kv_handle is None:
            started = self._core.now()
            prefilled = await self._prefills.prefill(
                self._call, plan, plan.reader
            )
            match prefilled:
                case Failure(outcome):
                    self._attempts.tried.add(plan.reader.name)
                    _end_grant(grant, plan.reader, outcome)
                    return Failure(_classify_prefill_failure(outcome))
                case Success(handle):
                    self._kv_handle = handle
            grant.note_prefill(self._core.now() - started)
            plan = self._update_plan(grant)
        return await self._generate(plan, grant)

    async def _generate(self, plan: Plan, grant: Grant) -> Generated:
        route = self._call.route
        result = await self._generation.run(
            plan,
            self._kv_handle,
            grant,
            resumable=route.resumable and self._attempts.may_run_again,
        )
        self._attempts.record(plan.generator.name, result)
        match result:
            case Failure(outcome):
                _end_grant(grant, plan.generator, outcome)
                if not self._can_keep_handle(outcome):
                    self._drop_handle()
            case Success(StreamEnded(step_s=step_s)):
                grant.end(step_s=step_s)
            case _:
                grant.end()
        return result

    def _can_keep_handle(self, outcome: Outcome) -> bool:
        """Whether the KV cache still lies where it was.

        Reading the prompt again for another engine costs the time of a whole
        read. An engine that refuses has mostly no room; only when a second
        one refuses, too, the handle itself is doubted.
        """
        match outcome:
            case NeverWritten() | Limited():
                return True
            case Refused():
                self._refusals += 1
                suspect = self._refusals >= _MAX_HANDLE_REFUSALS
                if suspect and self._kv_handle is not None:
                    # Two engines could not fetch it: the one that holds it
                    # moves KV cache too slowly, or not at all.
                    prefill_engine = self._kv_handle.engine.name
                    self._core.standings.note_refusal(
                        prefill_engine, self._core.now()
                    )
                return not suspect
            case _:
                return False

    def _update_plan(self, grant: Grant) -> Plan:
        """Choose the generator anew once the prompt was read.

        A read may take seconds. An engine that has said meanwhile that it
        leaves may get no more work, and the least busy one may have changed.
        One that a scheduler keeps a place at is only left if it has left.
        """
        plan = grant.plan
        if grant.holds_decode:
            service = self._call.service.name
            usable = self._core.list_usable(service, self._core.now())
            if plan.generator.name in {one.name for one in usable}:
                return plan
        return self._place().value_or(plan)

    def _release(self) -> None:
        """Free what is still held at engines."""
        self._drop_handle()
        if self._grant is not None:
            self._grant.end()

    def _drop_handle(self) -> None:
        """Free the handle, if there is one that nobody has taken."""
        if self._kv_handle is not None:
            self._prefills.free(self._kv_handle)
            self._kv_handle = None

    def _handle_failure(
        self,
        plan: Plan,
        outcome: Outcome,
    ) -> web.StreamResponse | None:
        """Decide what follows a failure; None for another attempt."""
        # Without a handle the prompt is read and generated anew; a failed
        # read alone is one send.
        prefill_failed = isinstance(outcome, Unprepared)
        problem = self._attempts.handle_failure(
            outcome,
            delivered=self._relay.begun,
            resends=1 if self._kv_handle or prefill_failed else 2,
            reader=plan.reader.name if plan.reader else None,
            generator=plan.generator.name,
            last_event=self._relay.state.last,
        )
        if problem is not None:
            return self._abandon(problem)
        discard_partial(self._relay.state)
        return None

    async def _finish(self, done: object) -> web.StreamResponse:
        if isinstance(done, Answered):
            return build_answer_response(done)
        response = await self._relay.finish()
        if response is None:
            # Complete and empty: nothing was left to resume.
            message = 'the stream had no events'
            return self._abandon(Problem(ErrorKind.ANSWER_TRUNCATED, message))
        return response

    def _abandon(self, problem: Problem) -> web.StreamResponse:
        """Answer at once, or break a stream so that it does not look whole."""
        answer = self._attempts.abandon(problem, delivered=self._relay.begun)
        return self._relay.abort_stream() or answer

    def _log_placement(self, plan: Plan) -> None:
        journal.write_decision(
            'placed',
            request=self._call.ask.identity,
            reader=plan.reader.name if plan.reader else None,
            generator=plan.generator.name,
            missing=plan.missing,
            wait_s=journal.round_seconds(plan.wait_s),
            reason=plan.reason,
            attempt=self._attempts.begun + 1,
        )


def _end_grant(grant: Grant, engine: Entry, outcome: Outcome) -> None:
    """Give the engines back after a failure at one of them.

    That it took no work is told: it may be changing its role, and others
    would be sent there next.
    """
    refused = isinstance(outcome, Refused | NeverWritten | Limited)
    grant.end(refused=engine.name if refused else '')


def _classify_prefill_failure(outcome: Outcome) -> Outcome:
    """Name how a read failed as an outcome of the request itself.

    A read runs nothing, so the request may go on elsewhere whatever became
    of it, also where it may run only once.
    """
    if isinstance(outcome, TimedOut | Quarantined | Limited | Unauthorized):
        return outcome
    return Unprepared(f'the prompt was not read: {outcome}')
