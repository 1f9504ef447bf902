"""Runs attempts and follows what ``requests`` decides after each."""

import asyncio
from typing import final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import FLAG_PRIORITY
from verbenahall.errors import Problem, Ran
from verbenahall.fleet import Endpoint, Standing
from verbenahall.front._feedback import give_feedback, may_still_run
from verbenahall.front._messages import Call
from verbenahall.front._dependencies import Parts
from verbenahall.front._placement import Placer
from verbenahall.front._progress import (
    Placed,
    Progress,
    Sender,
    Sent,
    estimate_work,
)
from verbenahall.load import note_finished, note_sent
from verbenahall.requests import (
    Broken,
    Facts,
    GiveUp,
    Outcome,
    Retry,
    RetryBudget,
    TimedOut,
    decide_next,
)


@final
class Attempts:
    """Runs a request's attempts one after another until one succeeds."""

    def __init__(
        self,
        parts: Parts,
        placer: Placer,
    ) -> None:
        """Start with a full retry budget and nothing open."""
        self._parts = parts
        self._placer = placer
        self._budget = RetryBudget()
        self._open: dict[str, tuple[Endpoint, asyncio.Timeout]] = {}

    async def run(
        self,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Problem]:
        """Try until an attempt succeeds or no further one is allowed."""
        self._budget.earn()
        found = await self._run(progress, sender)
        if isinstance(found, Failure):
            self._give_back(progress, found.failure())
        return found

    def abandon_silent(self) -> None:
        """End the attempts whose endpoints have fallen silent.

        A stopped or cut-off endpoint keeps its connection open and says
        nothing; the caller would wait until the deadline. Ended early, the
        attempt can be followed by another one.
        """
        now = self._parts.clock()
        loop = asyncio.get_running_loop()
        for endpoint, limit in tuple(self._open.values()):
            if self._parts.standing(endpoint.name, now) is Standing.SILENT:
                limit.reschedule(loop.time())

    async def _run(
        self,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Problem]:
        while True:
            placed = await self._placer.place(progress)
            if isinstance(placed, Failure):
                return placed
            found = await self._try(placed.unwrap(), progress, sender)
            if isinstance(found, Success):
                return found
            step = self._weigh(progress, found.failure())
            progress.excluded |= {placed.unwrap().endpoint.name}
            if isinstance(step, GiveUp):
                return Failure(step.problem)
            metrics.RETRIES.add(step.reason)
            await asyncio.sleep(step.delay_s)

    def _give_back(self, progress: Progress, problem: Problem) -> None:
        """Free the key of a call that the caller is told never ran.

        It would otherwise be used up, and the caller's own repetition of a
        call that did nothing would be refused as a second one.
        """
        if progress.claim is None or problem.answer.ran is not Ran.NO:
            return
        head = progress.call.head
        self._parts.release(head.ticket.workspace, head.key, progress.claim)

    async def _try(
        self,
        placed: Placed,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        """Run one attempt within the deadline; cancel what is given up."""
        found: Result[Sent, Outcome] = Failure(TimedOut())
        try:
            found = await self._send(placed, progress, sender)
        finally:
            # Also when the caller has gone and this task is cancelled: an
            # engine that is not told would go on working for nobody.
            if may_still_run(found):
                sender.cancel(placed)
        give_feedback(self._parts, placed.endpoint.name, found)
        return found

    async def _send(
        self,
        placed: Placed,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        timeout = asyncio.timeout(placed.remaining_s)
        self._note_open(placed, progress.call, timeout)
        try:
            async with timeout:
                return await sender.send(placed)
        except TimeoutError:
            return Failure(self._judge_timeout(progress))
        finally:
            self._note_closed(placed)

    def _note_open(
        self,
        placed: Placed,
        call: Call,
        timeout: asyncio.Timeout,
    ) -> None:
        self._open[placed.attempt] = (placed.endpoint, timeout)
        note_sent(
            self._parts.load,
            placed.endpoint.name,
            placed.attempt,
            estimate_work(call),
            self._parts.clock(),
        )

    def _note_closed(self, placed: Placed) -> None:
        self._open.pop(placed.attempt)
        note_finished(
            self._parts.load,
            placed.endpoint.name,
            placed.attempt,
            self._parts.clock(),
        )

    def _judge_timeout(self, progress: Progress) -> Outcome:
        if self._parts.clock() >= progress.call.head.deadline:
            return TimedOut()
        return Broken('the endpoint has fallen silent')

    def _weigh(self, progress: Progress, outcome: Outcome) -> Retry | GiveUp:
        facts = Facts(
            repeatable=progress.call.repeatable,
            deadline=progress.call.head.deadline,
            attempts=progress.attempts,
            delivered=progress.delivered > 0,
            resumable=bool(self._placer.list_candidates(progress)),
            unknown=progress.unknown,
            urgent=progress.call.head.ticket.priority == FLAG_PRIORITY,
        )
        step = decide_next(
            outcome,
            facts,
            self._budget,
            self._parts.source,
            self._parts.clock(),
        )
        if isinstance(outcome, Broken):
            progress.unknown = True
        return step
