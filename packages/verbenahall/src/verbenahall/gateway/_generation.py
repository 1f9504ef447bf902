"""The send that has an engine generate, and its stream."""

from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call, Pace, StreamEnded
from verbenahall.gateway._reads import Handle
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import SUCCESS, Opened, Sender
from verbenahall.placement import Plan, Totals
from verbenahall.platform import CALL_FAILURES, SendOrder, read_answer
from verbenahall.requests import Broken, Outcome

Generated = Result[StreamEnded | Answered, Outcome]

#: The caller's own connection broke while the stream was passed on.
_CALLER_GONE: Final = ConnectionResetError


@final
class Generation:
    """Has one engine generate, and passes its stream on."""

    __slots__ = ('_core', '_sender', '_call', '_relay')

    def __init__(
        self,
        core: Core,
        sender: Sender,
        call: Call,
        relay: EventRelay,
    ) -> None:
        """Pass streams on through the relay."""
        self._core = core
        self._sender = sender
        self._call = call
        self._relay = relay

    async def run(
        self,
        plan: Plan,
        handle: Handle | None,
        *,
        resumable: bool,
    ) -> Generated:
        """Send once; go on from the handle, and after the last event."""
        order = self._order(plan, handle)
        ledger = self._core.placement.ledger
        flight = ledger.open(
            plan.generator.name,
            Totals(
                reading=0 if handle else plan.missing,
                context=self._call.ask.work.context_tokens,
                streams=1,
            ),
        )
        sent_at = self._core.now()
        until = self._relay.silent_until(resumable=resumable)
        sending = self._sender.open(self._call, plan.generator, order, until)
        try:
            async with sending as opened:
                result = await self._judge(plan, order, opened, resumable)
        finally:
            ledger.close(flight)
        ended = result.value_or(None)
        if isinstance(ended, StreamEnded):
            self._learn(plan, ended.pace, sent_at)
        return result

    def _order(self, plan: Plan, handle: Handle | None) -> SendOrder:
        call = self._call
        return SendOrder(
            plan.generator.name,
            call.left_s(self._core.now()),
            priority=call.route.priority,
            kv_source=handle.source if handle else '',
            last_event=self._relay.state.last,
        )

    async def _judge(
        self,
        plan: Plan,
        order: SendOrder,
        opened: Opened,
        resumable: bool,
    ) -> Generated:
        match opened:
            case Success(response):
                return await self._take(plan, order, response, resumable)
            case _:
                return opened

    async def _take(
        self,
        plan: Plan,
        order: SendOrder,
        response: aiohttp.ClientResponse,
        resumable: bool,
    ) -> Generated:
        """Pass a stream on, or return an answer that is no stream."""
        call = self._call
        engine = plan.generator
        if response.status not in SUCCESS:
            return await self._sender.read_whole(
                call,
                engine,
                order,
                response,
                call.deadline,
            )
        if not read_answer(response.status, response.headers).signed:
            # Events without a signature are no engine's answer.
            self._sender.note(engine, good=False)
            return Failure(Broken('the stream bears no signature'))
        try:
            pace = await self._relay.pump(response, resumable=resumable)
        except _CALLER_GONE:
            raise
        except CALL_FAILURES as error:
            return Failure(self._sender.name_failure(call, engine, error))
        return Success(StreamEnded(pace))

    def _learn(self, plan: Plan, pace: Pace, sent_at: float) -> None:
        call = self._call
        now = self._core.now()
        self._sender.note(plan.generator, good=True)
        placement = self._core.placement
        placement.note_kept(plan.generator, call.ask.work, call.service)
        if pace.events > 1 and pace.first_at is not None:
            traits = call.service.engine
            tokens = (pace.events - 1) * traits.event_tokens
            step = (pace.last_at - pace.first_at) / tokens
            placement.step_of(plan.generator.name).note(step, now)
        journal.write_decision(
            'generated',
            request=call.ask.identity,
            engine=plan.generator.name,
            events=pace.events,
            first_s=journal.round_seconds((pace.first_at or now) - sent_at),
            took_s=journal.round_seconds(now - sent_at),
        )
