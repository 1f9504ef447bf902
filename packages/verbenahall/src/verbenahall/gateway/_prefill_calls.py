"""Prefills on one engine whose KV cache another engine fetches."""

import asyncio
import dataclasses
import functools
from http import HTTPStatus
from typing import Final, final

from returns.maybe import Some
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._sender import Sender
from verbenahall.hedging import Branch
from verbenahall.placement import OpenPrefill, Plan, PrefillSample
from verbenahall.platform import (
    PrefillResult,
    SendOptions,
    decode_prefill_result,
    format_kv_source,
)
from verbenahall.requests import (
    HELD_BACK,
    Broken,
    Outcome,
    TimedOut,
    Unprepared,
)
from verbenahall.roster import Entry

#: A prefill is hedged after the expected wait times this factor, plus this
#: margin in seconds. It doesn't execute the request, so it may be repeated even
#: for a request that may run only once.
_SILENT_FACTOR: Final = 4.0
_SILENT_MARGIN_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheHandle:
    """KV cache of a prompt, held by an engine until fetched or freed."""

    engine: Entry
    name: str

    @property
    def source(self) -> str:
        """The header value of a send that locates this KV cache."""
        return format_kv_source(self.engine.address, self.name)


@final
class PrefillCalls:
    """Sends prefills to engines and frees unused handles."""

    __slots__ = ('_branch', '_core', '_sender')

    def __init__(self, core: Core, sender: Sender, branch: Branch) -> None:
        """Send through ``sender``, as part of ``branch``."""
        self._branch = branch
        self._core = core
        self._sender = sender

    async def prefill(
        self,
        call: Call,
        plan: Plan,
        prefill_engine: Entry,
    ) -> Result[CacheHandle, Outcome]:
        """Prefill the prompt; return the handle of its KV cache."""
        now = self._core.now()
        options = SendOptions(
            prefill_engine.name,
            call.left_s(now),
            priority=call.priority,
            prefill_only=True,
        )
        idle_s = _SILENT_MARGIN_S + plan.wait_s * _SILENT_FACTOR
        placement = self._core.placement
        opened = placement.open_prefill(prefill_engine, plan, now)
        try:
            result = await self._sender.exchange(
                call,
                prefill_engine,
                options,
                call.deadline,
                functools.partial(self._branch.expect_progress, idle_s),
            )
        except asyncio.CancelledError:
            self._log_superseded(call, prefill_engine, now)
            raise
        finally:
            self._branch.expect_progress(None)
            share = placement.close_prefill(opened, self._core.now())
        prefilled = _decode_handle(result)
        if isinstance(prefilled, Success):
            placement.failures.record(
                prefill_engine.name, self._core.now(), failed=False
            )
            sample = plan.make_sample(
                call.head.work,
                self._core.now() - now,
                share,
                alone=not opened.tokens_ahead,
            )
            self._record_prefill(call, prefill_engine, sample, opened)
        return prefilled.map(
            lambda prompt: CacheHandle(prefill_engine, prompt.handle)
        )

    def free_handle(self, handle: CacheHandle) -> None:
        """Free a handle in the background.

        An unused handle would occupy the engine's memory for seconds, and the
        engine would refuse other requests for lack of memory.
        """
        calls = self._core.engines
        self._core.spawn(calls.free_handle(handle.engine, handle.name))

    def _log_superseded(
        self, call: Call, prefill_engine: Entry, sent_at: float
    ) -> None:
        by = self._branch.superseded_by
        if by is not None:
            silent_s = self._core.now() - sent_at
            journal.write_decision(
                'superseded',
                request=call.head.identity,
                engine=prefill_engine.name,
                prefill=True,
                by=by.value,
                silent_s=journal.round_to_ms(silent_s),
            )

    def _record_prefill(
        self,
        call: Call,
        prefill_engine: Entry,
        sample: PrefillSample,
        opened: OpenPrefill,
    ) -> None:
        if call.service.engine is not None:
            self._core.placement.record_prefill_time(
                prefill_engine, sample, call.service.engine, self._core.now()
            )
        journal.write_decision(
            'read',
            request=call.head.identity,
            engine=prefill_engine.name,
            missing=sample.missing,
            kept=sample.cached,
            ahead=opened.tokens_ahead,
            took_s=journal.round_to_ms(sample.seconds),
        )
        metrics.PREFILL_SECONDS.observe(sample.seconds)
        metrics.PREFILL_TOKENS.add('missing', count=sample.missing)
        metrics.PREFILL_TOKENS.add('kept', count=sample.cached)
        self._core.placement.record_cached(
            prefill_engine, call.head.work, call.service
        )


def _decode_handle(
    result: Result[Answered, Outcome],
) -> Result[PrefillResult, Outcome]:
    match result:
        case Success(Answered(status=status, body=body)):
            pass
        case _:
            return result
    if status != HTTPStatus.OK:
        return Failure(Broken(f'the prefill was answered with status {status}'))
    match decode_prefill_result(body):
        case Some(prompt):
            return Success(prompt)
        case _:
            return Failure(Broken('the answer to the prefill has no handle'))


def classify_prefill_failure(outcome: Outcome) -> Outcome:
    """Return the outcome of an attempt whose prefill failed.

    A prefill doesn't execute the request, so any failure of it allows another
    attempt, even for a request that may run only once.
    """
    if isinstance(outcome, (TimedOut, *HELD_BACK)):
        return outcome
    return Unprepared(f'the prefill failed: {outcome}')
