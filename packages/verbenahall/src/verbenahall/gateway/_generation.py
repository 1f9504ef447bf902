"""The send that has an engine generate, and its stream."""

from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant
from verbenahall.gateway._messages import Answered, Call, StreamEnded
from verbenahall.gateway._reads import KvHandle
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import SUCCESS_STATUSES, Opened, Sender
from verbenahall.placement import InFlight, Plan, Totals
from verbenahall.platform import CALL_FAILURES, SendOrder, read_answer
from verbenahall.requests import Broken, Outcome

Generated = Result[StreamEnded | Answered, Outcome]

#: The caller's own connection broke while the stream was passed on.
_CALLER_DISCONNECTED: Final = ConnectionResetError


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
        handle: KvHandle | None,
        grant: Grant,
        *,
        resumable: bool,
    ) -> Generated:
        """Send once; go on from the handle, and after the last event."""
        self._grant: Grant = grant
        order = self._make_order(plan, handle)
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
        until = self._relay.find_idle_deadline(resumable=resumable)
        sending = self._sender.open(self._call, plan.generator, order, until)
        try:
            async with sending as opened:
                result = await self._handle_opened(
                    plan, order, opened, resumable
                )
        finally:
            ledger.close(self._flight)
        ended = result.value_or(None)
        if isinstance(ended, StreamEnded):
            self._record_completion(plan, ended)
        return result

    def _make_order(self, plan: Plan, handle: KvHandle | None) -> SendOrder:
        call = self._call
        return SendOrder(
            plan.generator.name,
            call.left_s(self._core.now()),
            priority=call.priority,
            kv_source=handle.source if handle else '',
            last_event=self._relay.state.last,
        )

    async def _handle_opened(
        self,
        plan: Plan,
        order: SendOrder,
        opened: Opened,
        resumable: bool,
    ) -> Generated:
        match opened:
            case Success(response):
                return await self._handle_response(
                    plan, order, response, resumable
                )
            case _:
                return opened

    async def _handle_response(
        self,
        plan: Plan,
        order: SendOrder,
        response: aiohttp.ClientResponse,
        resumable: bool,
    ) -> Generated:
        """Pass a stream on, or return an answer that is no stream."""
        call = self._call
        engine = plan.generator
        if response.status not in SUCCESS_STATUSES:
            return await self._sender.read_whole(
                call,
                engine,
                order,
                response,
                call.deadline,
            )
        if not read_answer(response.status, response.headers).signed:
            # Events without a signature are no engine's answer.
            self._sender.record_outcome(engine, good=False)
            return Failure(Broken('the stream bears no signature'))
        try:
            timing = await self._relay.pump(
                response,
                self._handle_first_event,
                resumable=resumable,
            )
        except _CALLER_DISCONNECTED:
            raise
        except CALL_FAILURES as error:
            return Failure(self._sender.classify_failure(call, engine, error))
        event_tokens = call.service.engine.event_tokens
        return Success(StreamEnded(timing, timing.find_step_s(event_tokens)))

    def _handle_first_event(self) -> None:
        """Take the read out of the engine's open work once it is done.

        Left there until the stream's end, it looked to others like a prompt
        that they would have to wait for.
        """
        self._count_usage()
        placement = self._core.placement
        self._flight = placement.ledger.note_read(self._flight)
        now = self._core.now()
        handover_s = now - self._sent_at if self._handed_over else 0
        self._grant.note_first(handover_s)
        if handover_s:
            placement.handover.note(handover_s, now)

    def _count_usage(self) -> None:
        """Count the request once, however many engines go on with it."""
        workspace = self._call.workspace
        if workspace is not None and not self._counted:
            self._core.meter.note_begun(workspace.name)
        self._counted = True

    def _record_completion(self, plan: Plan, ended: StreamEnded) -> None:
        call = self._call
        timing = ended.timing
        now = self._core.now()
        self._sender.record_outcome(plan.generator, good=True)
        self._core.observer.note_answered(call.fingerprint)
        placement = self._core.placement
        placement.note_kept(plan.generator, call.ask.work, call.service)
        if ended.step_s:
            placement.step_of(plan.generator.name).note(ended.step_s, now)
        journal.write_decision(
            'generated',
            request=call.ask.identity,
            engine=plan.generator.name,
            events=timing.events,
            first_s=journal.round_seconds(
                (timing.first_at or now) - self._sent_at
            ),
            since_s=journal.round_seconds(
                (timing.first_at or now) - call.received,
            ),
            took_s=journal.round_seconds(now - self._sent_at),
        )
