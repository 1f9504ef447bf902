"""Model requests: the prompt read on one engine, generated on another."""

import asyncio
import dataclasses
from typing import Final, final

import aiohttp
from aiohttp import web
from returns.maybe import Some
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem
from verbenahall.gateway._answers import answer_with, pass_on
from verbenahall.gateway._core import Core
from verbenahall.gateway._events import EventState, feed, restart
from verbenahall.gateway._messages import Answered, Call, StreamEnded
from verbenahall.gateway._sender import Sender
from verbenahall.placement import Plan, Totals, Wish, place
from verbenahall.platform import (
    SendOrder,
    decode_read_prompt,
    handle_path,
    name_handle,
    strip_hop_headers,
)
from verbenahall.requests import (
    Broken,
    Facts,
    NeverWritten,
    Outcome,
    Refused,
    Retry,
    conclude,
    decide_next,
    name_outcome,
)
from verbenahall.roster import Entry

_OK: Final = 200
#: Longest time that freeing a handle may take, in seconds.
_FREE_S: Final = 1.0
#: A stream that may be resumed and is silent for this many of the pauses
#: that its callers bear on time is taken up by another engine, and at least
#: for this long, in seconds.
_SILENT_GAPS: Final = 5.0
_SILENT_S: Final = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Handle:
    """KV cache that lies at an engine until it is taken or freed."""

    engine: Entry
    name: str


_Generated = Result[StreamEnded | Answered, Outcome]


@final
class StreamFlow:
    """One model request, from its placement to the end of its stream."""

    __slots__ = (
        '_core',
        '_sender',
        '_call',
        '_request',
        '_state',
        '_response',
        '_tried',
        '_sends',
        '_runs',
        '_first_at',
        '_events',
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
        self._sender = sender
        self._call = call
        self._request = request
        self._state = EventState(call.ask.last_event)
        self._response: web.StreamResponse | None = None
        self._tried: set[str] = set()
        self._sends = 0
        self._runs = 0
        self._first_at = 0.0
        self._events = 0

    async def run(self) -> web.StreamResponse:
        """Send until the stream has ended or is given up."""
        while True:
            match self._place():
                case Success(plan):
                    result = await self._follow(plan)
                case Failure(problem):
                    return await self._give_up(problem)
            match result:
                case Success(StreamEnded()):
                    return await self._finish()
                case Success(Answered() as answered):
                    return pass_on(answered)
                case Failure(outcome):
                    pass
            facts = self._describe()
            step = decide_next(
                outcome,
                facts,
                self._core.budget_of(self._call.service.name),
                self._core.random,
                self._core.now(),
            )
            self._tell(plan, outcome, step)
            if not isinstance(step, Retry):
                return await self._give_up(conclude(outcome, facts))
            metrics.RETRIES.add(step.reason)
            restart(self._state)

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

    async def _follow(self, plan: Plan) -> _Generated:
        """Carry a plan out; free the handle if nobody has taken it."""
        self._journal_plan(plan)
        if plan.reader is None:
            return await self._generate(plan, None)
        match await self._read_prompt(plan, plan.reader):
            case Failure(outcome):
                self._tried.add(plan.reader.name)
                return Failure(outcome)
            case Success(handle):
                pass
        taken = False
        try:
            result = await self._generate(plan, handle)
            taken = isinstance(result, Success)
        finally:
            if not taken:
                self._free(handle)
        return result

    async def _read_prompt(
        self,
        plan: Plan,
        reader: Entry,
    ) -> Result[_Handle, Outcome]:
        call = self._call
        core = self._core
        now = core.now()
        self._sends += self._sends > 0
        order = SendOrder(
            reader.name,
            call.left_s(now),
            priority=call.route.priority,
            read_only=True,
        )
        waited = core.placement.ledger.totals(reader.name, now).reading
        flight = core.placement.ledger.open(
            reader.name,
            Totals(reading=plan.missing),
        )
        try:
            result = await self._sender.exchange(
                call,
                reader,
                order,
                call.deadline,
            )
        finally:
            core.placement.ledger.close(flight)
        match result:
            case Success(Answered(status=200, body=body)):
                pass
            case Success(Answered(status=status)):
                return Failure(Broken(f'status {status} to a read'))
            case _:
                return result
        match decode_read_prompt(body):
            case Some(prompt):
                if not waited:
                    journal.write_decision('timed_read', engine=reader.name, missing=plan.missing, prompt=call.ask.work.prompt_tokens, seconds=round(core.now()-now,4), expected=round(core.placement.read_speed.expect(plan.missing, call.ask.work.prompt_tokens-plan.missing),4), rank=plan.reason)
                    core.placement.learn_read(
                        plan.missing,
                        call.ask.work.prompt_tokens - plan.missing,
                        core.now() - now,
                    )
                self._note_kept(reader)
                return Success(_Handle(reader, prompt.handle))
            case _:
                return Failure(Broken('a read without a handle'))

    async def _generate(
        self,
        plan: Plan,
        handle: _Handle | None,
    ) -> _Generated:
        call = self._call
        core = self._core
        engine = plan.generator
        work = call.ask.work
        self._sends += 1
        order = SendOrder(
            engine.name,
            call.left_s(core.now()),
            priority=call.route.priority,
            kv_source=(
                name_handle(handle.engine.address, handle.name)
                if handle
                else ''
            ),
            last_event=self._state.last,
        )
        sent_at = core.now()
        seen = core.placement.ledger.totals(engine.name, sent_at)
        flight = core.placement.ledger.open(
            engine.name,
            Totals(0 if handle else plan.missing, work.context_tokens, 1),
        )
        try:
            async with self._sender.open(
                call,
                engine,
                order,
                self._silent_at(),
            ) as opened:
                match opened:
                    case Success(response):
                        self._runs += 1
                        headed_at = core.now()
                        result = await self._take(engine, order, response)
                        journal.write_decision('generated', request=call.ask.identity, engine=engine.name,
                          mixed=handle is None, missing=plan.missing, prompt=work.prompt_tokens, hint=work.output_tokens, head_s=round(headed_at-sent_at,4),
                          first_s=round(self._first_at - sent_at,4), events=self._events, took_s=round(core.now()-sent_at,4),
                          reading=seen.reading, context=seen.context, streams=seen.streams)
                        return result
                    case Failure(Refused() | NeverWritten() as outcome):
                        pass
                    case Failure(outcome):
                        self._runs += 1
        finally:
            core.placement.ledger.close(flight)
        self._tried.add(engine.name)
        return Failure(outcome)

    async def _take(
        self,
        engine: Entry,
        order: SendOrder,
        response: aiohttp.ClientResponse,
    ) -> _Generated:
        """Pass a stream on, or return an answer that is no stream."""
        call = self._call
        if response.status != _OK:
            return await self._sender.read_whole(
                call,
                engine,
                order,
                response,
                call.deadline,
            )
        try:
            await self._pump(engine, response)
        except _CALLER_GONE:
            raise
        except _FAILURES as error:
            return Failure(self._sender.name_failure(call, engine, error))
        self._sender.note(engine, good=True)
        self._note_kept(engine)
        return Success(StreamEnded())

    async def _pump(
        self,
        engine: Entry,
        response: aiohttp.ClientResponse,
    ) -> None:
        last_at = self._core.now()
        while True:
            wait_s = self._silent_at() - self._core.now()
            async with asyncio.timeout(wait_s):
                piece = await response.content.readany()
            if not piece:
                break
            step = feed(self._state, piece)
            if step.events:
                last_at = self._time(engine, last_at, step.events)
                await self._write(response, step.passed)
        if self._state.tail:
            raise aiohttp.ClientPayloadError('the stream ends in an event')

    async def _write(
        self,
        response: aiohttp.ClientResponse,
        passed: bytes,
    ) -> None:
        if self._response is None:
            self._response = web.StreamResponse(
                status=response.status,
                reason=response.reason,
                headers=strip_hop_headers(response.raw_headers),
            )
            self._response.enable_chunked_encoding()
            await self._response.prepare(self._request)
        await self._response.write(passed)

    def _silent_at(self) -> float:
        """Return until when the engine may be silent."""
        call = self._call
        if not call.route.resumable or self._runs >= call.route.max_attempts:
            return call.deadline
        silent = max(_SILENT_S, call.route.gap_s * _SILENT_GAPS)
        return min(call.deadline, self._core.now() + silent)

    async def _finish(self) -> web.StreamResponse:
        if self._response is None:
            # Complete and empty: there was nothing left to resume.
            return await self._give_up(
                Problem(ErrorKind.ANSWER_TRUNCATED, 'the stream was empty'),
            )
        await self._response.write_eof()
        return self._response

    async def _give_up(self, problem: Problem) -> web.StreamResponse:
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
            begun=self._response is not None,
            took_s=round(self._core.now() - self._call.received, 3),
        )
        if self._response is None:
            return answer_with(problem, self._call.ask.identity)
        transport = self._request.transport
        if transport is not None:
            transport.abort()
        return self._response

    def _describe(self) -> Facts:
        call = self._call
        return Facts(
            repeatable=call.route.repeatable,
            deadline=call.deadline,
            attempts=self._sends,
            delivered=self._state.started,
            resumable=call.route.resumable,
            unknown=self._runs > 0,
            runs=self._runs,
            most_runs=call.route.max_attempts,
        )

    def _note_kept(self, engine: Entry) -> None:
        traits = self._call.service.engine
        cache = self._core.placement.cache_of(engine, traits.kv_tokens)
        cache.note(self._call.ask.work.parts)

    def _free(self, handle: _Handle) -> None:
        """Free a handle in the background.

        Untaken, it would keep the engine's memory from others for seconds,
        which shows as refusals for want of memory.
        """
        self._core.spawn(self._delete(handle))

    async def _delete(self, handle: _Handle) -> None:
        url = f'http://{handle.engine.address}{handle_path(handle.name)}'
        try:
            async with asyncio.timeout(_FREE_S):
                async with self._core.session.delete(url) as response:
                    await response.read()
        except _FAILURES as error:
            journal.write_decision(
                'handle_not_freed',
                endpoint=handle.engine.name,
                reason=repr(error),
            )

    def _time(self, engine: Entry, last_at: float, events: int) -> float:
        now = self._core.now()
        self._events += events
        if self._response is None:
            self._first_at = now
            metrics.FIRST_TOKEN_SECONDS.observe(now - self._call.received)
            return now
        metrics.TOKEN_GAP_SECONDS.observe(now - last_at)
        tokens = events * self._call.service.engine.event_tokens
        step = self._core.placement.step_of(engine.name)
        step.note((now - last_at) / tokens, now)
        return now

    def _journal_plan(self, plan: Plan) -> None:
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

    def _tell(self, plan: Plan, outcome: Outcome, step: object) -> None:
        journal.write_decision(
            'attempt_failed',
            request=self._call.ask.identity,
            generator=plan.generator.name,
            outcome=name_outcome(outcome),
            detail=str(outcome),
            sends=self._sends,
            runs=self._runs,
            last_event=self._state.last,
            next='repeat' if isinstance(step, Retry) else 'give_up',
        )


#: The caller's own connection broke while the stream was passed on.
_CALLER_GONE: Final = (ConnectionResetError,)
_FAILURES: Final = (aiohttp.ClientError, OSError, TimeoutError)
