"""Prompts that are read on one engine for another one to go on from."""

import dataclasses
from http import HTTPStatus
from typing import Final, final

from returns.maybe import Some
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._sender import Sender
from verbenahall.placement import Plan, Totals
from verbenahall.platform import (
    ReadPrompt,
    SendOrder,
    decode_read_prompt,
    name_handle,
)
from verbenahall.requests import Broken, Outcome
from verbenahall.roster import Entry

#: A read is given up, and tried at another engine, after this many times the
#: expected wait and this time more, in seconds. Reads run nothing, so they
#: may be repeated for every kind of request.
_LATE_FACTOR: Final = 4.0
_LATE_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """KV cache of a prompt that lies at an engine until taken or freed."""

    engine: Entry
    name: str

    @property
    def source(self) -> str:
        """How a send names this KV cache."""
        return name_handle(self.engine.address, self.name)


@final
class PromptReads:
    """Has prompts read, and frees what nobody takes."""

    __slots__ = ('_core', '_sender')

    def __init__(self, core: Core, sender: Sender) -> None:
        """Read through the process's sender."""
        self._core = core
        self._sender = sender

    async def read(
        self,
        call: Call,
        plan: Plan,
        reader: Entry,
    ) -> Result[Handle, Outcome]:
        """Have the prompt read; return where its KV cache lies."""
        now = self._core.now()
        order = SendOrder(
            reader.name,
            call.left_s(now),
            priority=call.priority,
            read_only=True,
        )
        late_at = now + _LATE_S + plan.wait_s * _LATE_FACTOR
        ledger = self._core.placement.ledger
        waited = ledger.totals(reader.name).reading
        flight = ledger.open(reader.name, Totals(reading=plan.missing))
        try:
            result = await self._sender.exchange(
                call,
                reader,
                order,
                min(call.deadline, late_at),
            )
        finally:
            ledger.close(flight)
        read = _decode(result)
        if isinstance(read, Success):
            self._learn(call, plan, reader, waited, self._core.now() - now)
        return read.map(lambda prompt: Handle(reader, prompt.handle))

    def free(self, handle: Handle) -> None:
        """Free a handle in the background.

        Untaken, it would keep the engine's memory from others for seconds,
        which shows as refusals for want of memory.
        """
        calls = self._core.engines
        self._core.spawn(calls.free(handle.engine, handle.name))

    def _learn(
        self,
        call: Call,
        plan: Plan,
        reader: Entry,
        waited: int,
        seconds: float,
    ) -> None:
        kept = call.ask.work.prompt_tokens - plan.missing
        if not waited:
            self._core.placement.learn_read(plan.missing, kept, seconds)
        journal.write_decision(
            'read',
            request=call.ask.identity,
            engine=reader.name,
            missing=plan.missing,
            kept=kept,
            ahead=waited,
            took_s=journal.round_seconds(seconds),
        )
        metrics.READ_SECONDS.observe(seconds)
        metrics.READ_TOKENS.add('missing', count=plan.missing)
        metrics.READ_TOKENS.add('kept', count=kept)
        self._core.placement.note_kept(reader, call.ask.work, call.service)


def _decode(
    result: Result[Answered, Outcome],
) -> Result[ReadPrompt, Outcome]:
    match result:
        case Success(Answered(status=status, body=body)):
            pass
        case _:
            return result
    if status != HTTPStatus.OK:
        return Failure(Broken(f'status {status} to a read'))
    match decode_read_prompt(body):
        case Some(prompt):
            return Success(prompt)
        case _:
            return Failure(Broken('a read without a handle'))
