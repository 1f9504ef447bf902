"""Runs the attempts of a request with the retry rules of ``requests``."""

import asyncio
from typing import final

from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.admission import FLAG_PRIORITY
from verbenahall.errors import Problem, Ran
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._hedging import Hedging
from verbenahall.front._placement import Placer
from verbenahall.front._progress import Progress, Sender, Sent
from verbenahall.requests import (
    Broken,
    GiveUp,
    Outcome,
    Retry,
    RetryBudget,
    RetryContext,
    build_stopping_problem,
    decide_retry,
)


@final
class AttemptRunner:
    """Runs a request's attempts until one succeeds.

    An attempt follows one that has failed. It is made beside one whose endpoint
    is silent, which may still go on.
    """

    def __init__(
        self,
        dependencies: FrontDependencies,
        placer: Placer,
    ) -> None:
        """Start with a full retry budget and no open requests."""
        self._dependencies = dependencies
        self._placer = placer
        self._budget = RetryBudget()
        self._hedging = Hedging(dependencies, placer, self._decide_retry)

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

    def wake_silent(self) -> None:
        """Let the requests whose endpoints are silent try another one."""
        self._hedging.wake_silent()

    async def _run(
        self,
        progress: Progress,
        sender: Sender[Sent],
    ) -> Result[Sent, Problem]:
        while True:
            placed = await self._placer.place(progress)
            if isinstance(placed, Failure):
                return placed
            problem = self._find_obstacle(progress, placed.unwrap().remaining_s)
            if problem is not None:
                return Failure(problem)
            result = await self._hedging.run(placed.unwrap(), progress, sender)
            if isinstance(result, Success):
                return result
            step = self._decide_retry(progress, result.failure())
            if isinstance(step, GiveUp):
                return Failure(step.problem)
            metrics.RETRIES.add(step.reason)
            await asyncio.sleep(step.delay_s)

    def _find_obstacle(
        self, progress: Progress, left_s: float
    ) -> Problem | None:
        """Return why a request is not sent; a caller that left cancels it."""
        bears = self._dependencies.bears(progress.call.target_name, left_s)
        if progress.has_left:
            raise asyncio.CancelledError
        ran = Ran.UNKNOWN if progress.may_have_run else Ran.NO
        return None if bears else build_stopping_problem(ran)

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

    def _decide_retry(
        self, progress: Progress, outcome: Outcome
    ) -> Retry | GiveUp:
        retry_context = RetryContext(
            repeatable=progress.call.repeatable,
            deadline=progress.call.head.deadline,
            attempts=progress.attempts,
            delivered=progress.is_begun,
            resumable=(
                not progress.begun_at_peer
                and bool(self._placer.list_candidates(progress))
            ),
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
