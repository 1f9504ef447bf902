"""The send that has an engine generate, and its stream."""

from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant
from verbenahall.gateway._messages import Answered, Call, StreamEnded
from verbenahall.gateway._reads import Handle
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import SUCCESS, Opened, Sender
from verbenahall.placement import InFlight, Plan, Totals
from verbenahall.platform import CALL_FAILURES, SendOrder, read_answer
from verbenahall.requests import Broken, Outcome

Generated = Result[StreamEnded | Answered, Outcome]

#: The caller's own connection broke while the stream was passed on.
_CALLER_GONE: Final = ConnectionResetError


@final
class Generation:
    """Has one engine generate, and passes its stream on."""

    __slots__ = (
        '_core',
        '_sender',
        '_call',
        '_relay',
        '_flight',
        '_sent_at',
        '_handed_over',
        '_grant',
        '_counted',
    )

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
        self._flight = InFlight(-1, '', Totals())
        self._sent_at: float = 0
        self._handed_over = False
        self._counted = False

    async def run(
        self,
        plan: Plan,
        handle: Handle | None,
        grant: Grant,
        *,
        resumable: bool,
    ) -> Generated:
        """Send once; go on from the handle, and after the last event."""
        self._grant: Grant = grant
        order = self._order(plan, handle)
        ledger = self._core.placement.ledger
        self._handed_over = handle is not None
        self._flight = ledger.open(
            plan.generator.name,
            Totals(
                reading=0 if handle else plan.missing,
                context=self._call.ask.work.context_tokens,
                streams=1,
            ),
        )
        self._sent_at = self._core.now()
        until = self._relay.silent_until(resumable=resumable)
        sending = self._sender.open(self._call, plan.generator, order, until)
        try:
            async with sending as opened:
                result = await self._judge(plan, order, opened, resumable)
        finally:
            ledger.close(self._flight)
        ended = result.value_or(None)
        if isinstance(ended, StreamEnded):
            self._learn(plan, ended)
        return result

    def _order(self, plan: Plan, handle: Handle | None) -> SendOrder:
        call = self._call
        return SendOrder(
            plan.generator.name,
            call.left_s(self._core.now()),
            priority=call.priority,
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
            pace = await self._relay.pump(
                response,
                self._note_first,
                resumable=resumable,
            )
        except _CALLER_GONE:
            raise
        except CALL_FAILURES as error:
            return Failure(self._sender.name_failure(call, engine, error))
        event_tokens = call.service.engine.event_tokens
        return Success(StreamEnded(pace, pace.find_step_s(event_tokens)))

    def _note_first(self) -> None:
        """Take the read out of the engine's open work once it is done.

        Left there until the stream's end, it looked to others like a prompt
        that they would have to wait for.
        """
        self._count()
        placement = self._core.placement
        self._flight = placement.ledger.note_read(self._flight)
        now = self._core.now()
        handover_s = now - self._sent_at if self._handed_over else 0
        self._grant.note_first(handover_s)
        if handover_s:
            placement.handover.note(handover_s, now)

    def _count(self) -> None:
        """Count the request once, however many engines go on with it."""
        workspace = self._call.workspace
        if workspace is not None and not self._counted:
            self._core.meter.note_begun(workspace.name)
        self._counted = True

    def _learn(self, plan: Plan, ended: StreamEnded) -> None:
        call = self._call
        pace = ended.pace
        now = self._core.now()
        self._sender.note(plan.generator, good=True)
        self._core.observer.note_answered(call.fingerprint)
        placement = self._core.placement
        placement.note_kept(plan.generator, call.ask.work, call.service)
        if ended.step_s:
            placement.step_of(plan.generator.name).note(ended.step_s, now)
        journal.write_decision(
            'generated',
            request=call.ask.identity,
            engine=plan.generator.name,
            events=pace.events,
            first_s=journal.round_seconds(
                (pace.first_at or now) - self._sent_at
            ),
            since_s=journal.round_seconds(
                (pace.first_at or now) - call.received,
            ),
            took_s=journal.round_seconds(now - self._sent_at),
        )
