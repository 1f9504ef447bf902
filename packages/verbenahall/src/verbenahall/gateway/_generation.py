"""Sends a request to its decode engine and relays the stream."""

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

#: Raised when the caller's connection broke while the stream was relayed.
_CALLER_DISCONNECTED: Final = ConnectionResetError


@final
class Generation:
    """Sends a request to decode engines and relays their streams."""

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
        """Relay streams to the caller through ``relay``."""
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
        """Send once, using the KV cache handle if given; resume a begun stream.

        ``resumable`` means that another engine may take over the stream.
        """
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
        """Relay a stream, or return an error answer whole."""
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
            # Engines sign their answers, so this one comes from something else
            # at the address.
            self._sender.record_outcome(engine, good=False)
            return Failure(Broken('the stream has no signature'))
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
        """Remove the prefill from the engine's open work at the first event.

        Kept there until the end of the stream, it would count as a prompt
        that other requests have to wait for.
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
        """Count the request in its workspace's usage, once for all attempts."""
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
            first_s=journal.round_to_ms(
                (timing.first_at or now) - self._sent_at
            ),
            since_s=journal.round_to_ms(
                (timing.first_at or now) - call.received,
            ),
            took_s=journal.round_to_ms(now - self._sent_at),
        )
