"""Model requests: the prompt read on one engine, generated on another."""

from typing import final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem
from verbenahall.gateway._answers import answer_with, pass_on
from verbenahall.gateway._core import Core
from verbenahall.gateway._events import restart
from verbenahall.gateway._generation import (
    Generated,
    Generation,
    may_have_run,
)
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._reads import PromptReads
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import Sender
from verbenahall.placement import Plan, Wish, place
from verbenahall.requests import (
    Facts,
    NeverWritten,
    Outcome,
    Retry,
    TimedOut,
    conclude,
    decide_next,
    name_outcome,
)


@final
class StreamFlow:
    """One model request, from its placement to the end of its stream."""

    __slots__ = (
        '_core',
        '_call',
        '_relay',
        '_reads',
        '_generation',
        '_tried',
        '_sends',
        '_runs',
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
        self._reads = PromptReads(core, sender)
        self._generation = Generation(core, sender, call, self._relay)
        self._tried: set[str] = set()
        self._sends = 0
        self._runs = 0

    async def run(self) -> web.StreamResponse:
        """Send until the stream has ended or is given up."""
        while True:
            match self._place():
                case Success(plan):
                    self._tell_plan(plan)
                    result = await self._follow(plan)
                case Failure(problem):
                    return self._give_up(problem)
            match result:
                case Failure(outcome):
                    final_answer = self._go_on(plan, outcome)
                case Success(done):
                    final_answer = await self._finish(done)
            if final_answer is not None:
                return final_answer

    def _place(self) -> Result[Plan, Problem]:
        core = self._core
        now = core.now()
        live = list(core.roster.live(self._call.service.name, now))
        usable = [
            one
            for one in live
            if one.name not in self._tried
            and not core.standings.paused(one.name, now)
        ]
        return place(
            core.placement,
            Wish(self._call.ask.work, self._call.route.gap_s),
            usable or live,
            self._call.service.engine,
            now,
        )

    async def _follow(self, plan: Plan) -> Generated:
        """Carry a plan out; free the handle if nobody has taken it."""
        if plan.reader is None:
            return await self._generate(plan, None)
        # The first read of a request is not a further send.
        self._sends += self._sends > 0
        match await self._reads.read(self._call, plan, plan.reader):
            case Failure(outcome):
                self._tried.add(plan.reader.name)
                self._sends = max(1, self._sends)
                return Failure(_name_unread(outcome))
            case Success(handle):
                pass
        result: Generated | None = None
        try:
            result = await self._generate(plan, handle)
        finally:
            if not isinstance(result, Success):
                self._reads.free(handle)
        return result

    async def _generate(self, plan: Plan, handle: object) -> Generated:
        self._sends += 1
        resumable = self._may_resume()
        result = await self._generation.run(plan, handle, resumable=resumable)
        self._runs += may_have_run(result)
        if isinstance(result, Failure):
            self._tried.add(plan.generator.name)
        return result

    def _may_resume(self) -> bool:
        """Whether another engine could go on if the next one falls silent."""
        route = self._call.route
        return route.resumable and self._runs + 1 < route.max_attempts

    def _go_on(
        self,
        plan: Plan,
        outcome: Outcome,
    ) -> web.StreamResponse | None:
        """Decide what follows a failure; None for another attempt."""
        facts = self._describe()
        step = decide_next(
            outcome,
            facts,
            self._core.budget_of(self._call.service.name),
            self._core.random,
            self._core.now(),
        )
        self._tell_failure(plan, outcome, step)
        if not isinstance(step, Retry):
            return self._give_up(conclude(outcome, facts))
        metrics.RETRIES.add(step.reason)
        restart(self._relay.state)
        return None

    async def _finish(self, done: object) -> web.StreamResponse:
        if isinstance(done, Answered):
            return pass_on(done)
        response = await self._relay.finish()
        if response is None:
            # Complete and empty: nothing was left to resume.
            message = 'the stream had no events'
            return self._give_up(Problem(ErrorKind.ANSWER_TRUNCATED, message))
        return response

    def _give_up(self, problem: Problem) -> web.StreamResponse:
        """Answer at once, or break a stream so that it does not look whole."""
        journal.write_decision(
            'given_up',
            request=self._call.ask.identity,
            route=self._call.route.name,
            kind=problem.kind.value,
            ran=problem.answer.ran.value,
            reason=problem.message,
            sends=self._sends,
            runs=self._runs,
            begun=self._relay.begun,
            took_s=round(self._core.now() - self._call.received, 3),
        )
        broken = self._relay.break_off()
        if broken is not None:
            return broken
        return answer_with(problem, self._call.ask.identity)

    def _describe(self) -> Facts:
        call = self._call
        return Facts(
            repeatable=call.route.repeatable,
            deadline=call.deadline,
            attempts=self._sends,
            delivered=self._relay.state.started,
            resumable=call.route.resumable,
            unknown=self._runs > 0,
            runs=self._runs,
            most_runs=call.route.max_attempts,
        )

    def _tell_plan(self, plan: Plan) -> None:
        journal.write_decision(
            'placed',
            request=self._call.ask.identity,
            reader=plan.reader.name if plan.reader else None,
            generator=plan.generator.name,
            missing=plan.missing,
            wait_s=round(plan.wait_s, 3),
            reason=plan.reason,
            sends=self._sends,
        )

    def _tell_failure(
        self,
        plan: Plan,
        outcome: Outcome,
        step: object,
    ) -> None:
        journal.write_decision(
            'attempt_failed',
            request=self._call.ask.identity,
            reader=plan.reader.name if plan.reader else None,
            generator=plan.generator.name,
            outcome=name_outcome(outcome),
            detail=str(outcome),
            sends=self._sends,
            runs=self._runs,
            last_event=self._relay.state.last,
            next='repeat' if isinstance(step, Retry) else 'give_up',
        )


def _name_unread(outcome: Outcome) -> Outcome:
    """Name how a read failed as an outcome of the request itself.

    A read runs nothing, so the request may go on elsewhere whatever became
    of it, also where it may run only once.
    """
    if isinstance(outcome, TimedOut):
        return outcome
    return NeverWritten(f'the prompt was not read: {outcome}')
