"""Runs the attempts of a request with the retry rules of ``requests``."""

import asyncio
from typing import final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import FLAG_PRIORITY
from verbenahall.errors import Problem, Ran
from verbenahall.fleet import Endpoint, EndpointStatus
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._feedback import may_still_run, record_outcome
from verbenahall.front._messages import Call
from verbenahall.front._placement import Placer
from verbenahall.front._progress import (
    PlacedAttempt,
    Progress,
    Sender,
    Sent,
    estimate_work,
)
from verbenahall.load import record_finished, record_sent
from verbenahall.requests import (
    Broken,
    GiveUp,
    Outcome,
    Retry,
    RetryBudget,
    RetryContext,
    TimedOut,
    decide_retry,
)


@final
class AttemptRunner:
    """Runs a request's attempts one after another until one succeeds."""

    def __init__(
        self,
        dependencies: FrontDependencies,
        placer: Placer,
    ) -> None:
        """Start with a full retry budget and no open attempts."""
        self._dependencies = dependencies
        self._placer = placer
        self._budget = RetryBudget()
        self._open: dict[str, tuple[Endpoint, asyncio.Timeout]] = {}

    async def run(
        self,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Problem]:
        """Run attempts until one succeeds or no further attempt is allowed."""
        self._budget.record_request()
        result = await self._run(progress, sender)
        if isinstance(result, Failure):
            self._release_claim(progress, result.failure())
        return result

    def charge_retry(self) -> bool:
        """Charge the budget for a retry of a peer; False if it is used up."""
        return self._budget.try_spend()

    def abandon_unresponsive(self) -> None:
        """End the attempts whose endpoints have become unresponsive.

        A paused or partitioned endpoint keeps its connection open without
        sending anything, so the caller would wait until the deadline. Ending
        the attempt early leaves time for a retry.
        """
        now = self._dependencies.clock()
        loop = asyncio.get_running_loop()
        for endpoint, limit in tuple(self._open.values()):
            if (
                self._dependencies.find_status(endpoint.name, now)
                is EndpointStatus.SILENT
            ):
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
            result = await self._run_attempt(placed.unwrap(), progress, sender)
            if isinstance(result, Success):
                return result
            step = self._decide_retry(progress, result.failure())
            progress.excluded |= {placed.unwrap().endpoint.name}
            if isinstance(step, GiveUp):
                return Failure(step.problem)
            metrics.RETRIES.add(step.reason)
            await asyncio.sleep(step.delay_s)

    def _release_claim(self, progress: Progress, problem: Problem) -> None:
        """Release the idempotency key of a call that certainly never ran.

        Otherwise the key would stay claimed, and the caller's own retry would
        be rejected as a duplicate although the first call did nothing.
        """
        if progress.claim_offset is None or problem.answer.ran is not Ran.NO:
            return
        head = progress.call.head
        self._dependencies.release(
            head.ticket.workspace, head.key, progress.claim_offset
        )

    async def _run_attempt(
        self,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        """Run one attempt within the deadline; cancel it if it is abandoned."""
        result: Result[Sent, Outcome] = Failure(TimedOut())
        try:
            result = await self._send(placed, progress, sender)
        finally:
            # This also runs when the caller disconnects and this task is
            # cancelled; without a cancel call the engine would keep working.
            if may_still_run(result):
                sender.cancel(placed)
        record_outcome(self._dependencies, placed.endpoint, result)
        return result

    async def _send(
        self,
        placed: PlacedAttempt,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Outcome]:
        timeout = asyncio.timeout(placed.remaining_s)
        self._record_open(placed, progress.call, timeout)
        try:
            async with timeout:
                return await sender.send(placed)
        except TimeoutError:
            return Failure(self._classify_timeout(progress))
        finally:
            self._record_closed(placed)

    def _record_open(
        self,
        placed: PlacedAttempt,
        call: Call,
        timeout: asyncio.Timeout,
    ) -> None:
        self._open[placed.attempt] = (placed.endpoint, timeout)
        record_sent(
            self._dependencies.load,
            placed.endpoint.name,
            placed.attempt,
            estimate_work(call),
            self._dependencies.clock(),
        )

    def _record_closed(self, placed: PlacedAttempt) -> None:
        self._open.pop(placed.attempt)
        record_finished(
            self._dependencies.load,
            placed.endpoint.name,
            placed.attempt,
            self._dependencies.clock(),
        )

    def _classify_timeout(self, progress: Progress) -> Outcome:
        if self._dependencies.clock() >= progress.call.head.deadline:
            return TimedOut()
        return Broken('the endpoint is unresponsive')

    def _decide_retry(
        self, progress: Progress, outcome: Outcome
    ) -> Retry | GiveUp:
        retry_context = RetryContext(
            repeatable=progress.call.repeatable,
            deadline=progress.call.head.deadline,
            attempts=progress.attempts,
            delivered=progress.delivered_tokens > 0,
            resumable=bool(self._placer.list_candidates(progress)),
            may_have_run_before=progress.may_have_run,
            urgent=progress.call.head.ticket.priority == FLAG_PRIORITY,
        )
        step = decide_retry(
            outcome,
            retry_context,
            self._budget,
            self._dependencies.rng,
            self._dependencies.clock(),
        )
        if isinstance(outcome, Broken):
            progress.may_have_run = True
        return step
