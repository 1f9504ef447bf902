"""Sends a request to its decode engine and relays the stream."""

import asyncio
from typing import Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._grants import Grant
from verbenahall.gateway._messages import Answered, StreamEnded
from verbenahall.gateway._prefill_calls import CacheHandle
from verbenahall.gateway._relay import EventRelay
from verbenahall.gateway._sender import SUCCESS_STATUSES, Opened, Sender
from verbenahall.hedging import Branch, Stage, find_stream_idle_s
from verbenahall.placement import InFlight, PlacementRequest, Plan, Totals
from verbenahall.platform import CALL_FAILURES, SendOptions, read_answer_head
from verbenahall.reach import record_response
from verbenahall.requests import Broken, Outcome

Generated = Result[StreamEnded | Answered, Outcome]

#: An engine has failed a request if it has sent no event for this long when the
#: caller leaves, in seconds.
_SILENT_S: Final = 1.0
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
        '_attempts',
        '_branch',
        '_progress_at',
        '_engine',
    )

    def __init__(
        self,
        core: Core,
        sender: Sender,
        attempts: Attempts,
        relay: EventRelay,
        branch: Branch,
    ) -> None:
        """Relay streams to the caller through ``relay``, as ``branch``."""
        self._branch = branch
        self._attempts = attempts
        self._core = core
        self._sender = sender
        self._call = attempts.call
        self._relay = relay
        self._flight = InFlight(-1, '', Totals())
        self._sent_at: float = 0
        self._progress_at: float = 0
        self._handed_over = False

    async def run(
        self,
        plan: Plan,
        handle: CacheHandle | None,
        grant: Grant,
    ) -> Generated:
        """Send the request once to the decode engine, and relay its stream.

        With ``handle``, the engine fetches the KV cache of the prompt. A stream
        that has begun is resumed after the last relayed event.
        """
        self._grant: Grant = grant
        self._engine = plan.decode_engine
        options = self._make_options(plan, handle)
        load_table = self._core.placement.load_table
        self._handed_over = handle is not None
        self._flight = load_table.open(
            plan.decode_engine.name,
            Totals(
                prefill_tokens=0 if handle else plan.missing,
                held_tokens=self._call.head.work.context_tokens,
                streams=1,
            ),
            PlacementRequest(
                self._call.head.work,
                self._call.route.gap_s,
                priority=self._call.priority,
            ).make_stream(self._core.now(), has_handle=handle is not None),
        )
        self._sent_at = self._core.now()
        self._branch.enter(Stage.SENT)
        self._progress_at = self._core.now()
        sending = self._sender.open(
            self._call,
            plan.decode_engine,
            options,
            self._call.deadline,
            self._expect_event,
        )
        try:
            async with sending as opened:
                result = await self._handle_opened(plan, options, opened)
        except (asyncio.CancelledError, _CALLER_DISCONNECTED):
            self._record_unfinished(plan)
            raise
        finally:
            self._branch.expect_progress(None)
            load_table.close(self._flight)
        ended = result.value_or(None)
        if isinstance(ended, StreamEnded):
            self._record_completion(plan, ended)
        return result

    def _make_options(
        self, plan: Plan, handle: CacheHandle | None
    ) -> SendOptions:
        call = self._call
        return SendOptions(
            plan.decode_engine.name,
            call.left_s(self._core.now()),
            priority=call.priority,
            kv_source=handle.source if handle else '',
            last_event=self._relay.state.last,
        )

    async def _handle_opened(
        self,
        plan: Plan,
        options: SendOptions,
        opened: Opened,
    ) -> Generated:
        match opened:
            case Success(response):
                self._branch.enter(Stage.RUNNING)
                return await self._handle_response(plan, options, response)
            case _:
                return opened

    async def _handle_response(
        self,
        plan: Plan,
        options: SendOptions,
        response: aiohttp.ClientResponse,
    ) -> Generated:
        """Relay a stream, or return an error answer whole."""
        call = self._call
        engine = plan.decode_engine
        if response.status not in SUCCESS_STATUSES:
            return await self._sender.read_whole(
                call,
                engine,
                options,
                response,
                call.deadline,
            )
        if not read_answer_head(response.status, response.headers).signed:
            # Engines sign their answers, so this one comes from something else
            # at the address.
            self._sender.record_outcome(engine, good=False)
            return Failure(Broken('the stream has no signature'))
        self._expect_event()
        try:
            timing = await self._relay.pump(
                response,
                self._branch,
                self._handle_first_event,
                self._record_response,
            )
        except _CALLER_DISCONNECTED:
            raise
        except CALL_FAILURES as error:
            return Failure(self._sender.classify_failure(call, engine, error))
        event_tokens = call.service.engine.event_tokens
        return Success(StreamEnded(timing, timing.find_step_s(event_tokens)))

    def _expect_event(self) -> None:
        self._progress_at = self._core.now()
        idle_s = find_stream_idle_s(self._call.route.gap_s)
        self._branch.expect_progress(idle_s)

    def _record_response(self) -> None:
        self._expect_event()
        service_reach = self._core.reach.get(self._call.service.name)
        record_response(service_reach, self._core.now())

    def _handle_first_event(self) -> None:
        """Remove the prefill from the engine's open work at the first event.

        Kept there until the end of the stream, it would count as a prompt
        that other requests have to wait for.
        """
        self._attempts.count_usage()
        self._record_version()
        placement = self._core.placement
        now = self._core.now()
        placement.failures.record(self._flight.engine, now, failed=False)
        self._flight = placement.load_table.record_first_event(
            self._flight, now
        )
        handover_s = now - self._sent_at if self._handed_over else 0
        self._grant.record_first_event(handover_s)
        if handover_s:
            placement.handover.observe(handover_s, now)

    def _record_version(self) -> None:
        """Record the version that begins the stream, before it is relayed."""
        if self._relay.state.begin(self._engine.version):
            self._core.stream_versions.record_begun(self._call, self._engine)
        elif self._call.takes_up and not self._relay.begun:
            metrics.STREAMS_TAKEN_UP.add('gone_on')

    def _record_unfinished(self, plan: Plan) -> None:
        """Record what the engine had sent when the attempt was ended.

        Its caller has disconnected, or another engine has overtaken it. A
        caller that has waited in vain for an event leaves before its deadline,
        so that the attempt ends without a failure of the engine.
        """
        relay = self._relay
        now = self._core.now()
        silent_s = now - self._progress_at
        is_lost = self._core.reach.is_lost(self._call.service.name)
        if silent_s >= _SILENT_S and not is_lost:
            engine = plan.decode_engine.name
            self._core.placement.failures.record(engine, now, failed=True)
            self._grant.end(failed=engine)
        by = self._branch.superseded_by
        if by is None:
            metrics.CALLERS_LEFT.add('begun' if relay.begun else 'unanswered')
        else:
            self._attempts.record_superseded(plan.decode_engine.name)
        journal.write_decision(
            'caller_left' if by is None else 'superseded',
            request=self._call.head.identity,
            engine=plan.decode_engine.name,
            by=None if by is None else by.value,
            events=relay.event_count,
            silent_s=journal.round_to_ms(silent_s),
            streams=self._count_streams(plan),
        )

    def _count_streams(self, plan: Plan) -> int:
        """Return the known number of open streams at the decode engine."""
        load_table = self._core.placement.load_table
        return load_table.totals(plan.decode_engine.name).streams

    def _record_completion(self, plan: Plan, ended: StreamEnded) -> None:
        call = self._call
        timing = ended.timing
        now = self._core.now()
        self._sender.record_outcome(plan.decode_engine, good=True)
        self._core.observer.record_answered(call.fingerprint, call.part_keys)
        placement = self._core.placement
        placement.record_cached(
            plan.decode_engine, call.head.work, call.service
        )
        if ended.step_s and call.service.engine is not None:
            placement.record_step_time(
                plan.decode_engine, ended.step_s, call.service.engine, now
            )
        journal.write_decision(
            'generated',
            request=call.head.identity,
            engine=plan.decode_engine.name,
            events=timing.events,
            first_s=journal.round_to_ms(
                (timing.first_at or now) - self._sent_at
            ),
            since_s=journal.round_to_ms(
                (timing.first_at or now) - call.received,
            ),
            took_s=journal.round_to_ms(now - self._sent_at),
        )
