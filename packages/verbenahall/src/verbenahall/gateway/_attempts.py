"""Counts the attempts at one call and decides on retries."""

from typing import Any, final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran, limit_retry_after
from verbenahall.gateway._answer_ends import AnswerEnd, classify_given_up
from verbenahall.gateway._answers import build_problem_response
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.requests import (
    DeferredBudget,
    RetryContext,
    Outcome,
    Retry,
    build_problem,
    decide_retry,
    may_have_run,
    get_outcome_label,
)


@final
class Attempts:
    """Counts the attempts at a call and decides on retries.

    ``end`` is how the answer ends, as far as the attempts decide that, and
    ``reason`` why it failed. ``started`` counts all attempts, ``runs`` those
    that may have run, also at the instance that forwarded the call.
    ``is_metered`` is whether the call is counted in its workspace's usage.
    ``tried`` holds the names of the endpoints that failed an attempt. The pause
    of a ``Retry`` is ignored: the next attempt goes to another endpoint, and
    callers disconnect after two seconds without an answer.
    """

    __slots__ = (
        'call',
        'end',
        'is_metered',
        'reason',
        'runs',
        'started',
        'tried',
        '_budget',
        '_core',
        '_run_failure',
    )

    def __init__(self, core: Core, call: Call) -> None:
        """Start without attempts of this instance."""
        self.call = call
        self.end = AnswerEnd.WHOLE
        self.reason: str | None = None
        self._run_failure: Outcome | None = None
        self.is_metered = call.hop is not None and call.hop.is_metered
        self.started = 0
        self.runs = call.hop.runs if call.hop else 0
        self.tried: set[str] = set()
        self._core = core
        self._budget = core.get_retry_budget(call.service.name)

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows another run after the next one."""
        return self.runs + 1 < self.call.route.max_attempts

    def record(self, endpoint: str, result: Result[Any, Outcome]) -> None:
        """Record the result of a send that may have run the request."""
        if isinstance(result, Failure):
            self.tried.add(endpoint)
            self.runs += may_have_run(result.failure())
        else:
            self.runs += 1

    def count_usage(self, ago_s: float = 0) -> None:
        """Count the call in its workspace's usage, once for all attempts.

        ``ago_s`` is how long ago it was sent, in seconds.
        """
        workspace = self.call.workspace
        if workspace is not None and not self.is_metered:
            self._core.meter.record_started(workspace.name, ago_s)
        self.is_metered = True

    def handle_failure(
        self,
        outcome: Outcome,
        *,
        delivered: bool = False,
        send_count: int = 1,
        budget: DeferredBudget | None = None,
        **log_fields: Any,
    ) -> Problem | None:
        """Return the problem that ends the call; None for another attempt.

        ``delivered`` means that the caller has part of an answer already.
        ``send_count`` is how many sends another attempt takes; they are charged
        to ``budget``, by default that of the service. ``log_fields`` are
        further fields of the log line, such as the endpoints that failed.
        """
        retry_context = self._make_retry_context(delivered, send_count)
        if may_have_run(outcome):
            self._run_failure = outcome
        step = decide_retry(
            outcome,
            retry_context,
            budget or self._budget,
            self._core.random,
            self._core.now(),
        )
        retrying = isinstance(step, Retry)
        self._log_failure(
            get_outcome_label(outcome), str(outcome), retrying, log_fields
        )
        return None if retrying else build_problem(outcome, retry_context)

    def retry_failed_answer(self, endpoint: str, status: int) -> bool:
        """Spend retry budget on an error answer; False if none is left."""
        retrying = self._budget.try_spend()
        detail = f'status {status}'
        log_fields = {'endpoint': endpoint}
        self._log_failure('failed_answer', detail, retrying, log_fields)
        return retrying

    def abandon(
        self,
        problem: Problem,
        *,
        delivered: bool = False,
    ) -> web.Response:
        """Log why the call is given up; return the response for it.

        ``delivered`` means that the caller has part of an answer already.
        """
        call = self.call
        problem = limit_retry_after(problem, call.left_s(self._core.now()))
        if self.runs and problem.answer.ran is Ran.NO:
            # The problem describes only the last attempt, but an earlier one
            # may have run the request. A caller that is informed that it has
            # not run would repeat it.
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, problem.message)
        self.end = classify_given_up(problem, self._run_failure)
        self.reason = problem.message
        journal.write_decision(
            'given_up',
            request=call.head.identity,
            route=call.route.name,
            kind=problem.kind.value,
            ran=problem.answer.ran.value,
            reason=problem.message,
            attempts=self.started,
            runs=self.runs,
            begun=delivered,
            took_s=journal.round_to_ms(self._core.now() - call.received),
        )
        return build_problem_response(problem, call.head.identity)

    def _make_retry_context(
        self, delivered: bool, send_count: int
    ) -> RetryContext:
        call = self.call
        return RetryContext(
            repeatable=call.route.repeatable,
            deadline=call.deadline,
            attempts=self.started,
            delivered=delivered,
            resumable=call.route.resumable,
            may_have_run_before=self.runs > 0,
            runs=self.runs,
            max_runs=call.route.max_attempts,
            send_count=send_count,
        )

    def _log_failure(
        self,
        outcome: str,
        detail: str,
        retrying: bool,
        log_fields: dict[str, Any],
    ) -> None:
        journal.write_decision(
            'attempt_failed',
            request=self.call.head.identity,
            outcome=outcome,
            detail=detail,
            attempts=self.started,
            runs=self.runs,
            next='repeat' if retrying else 'give_up',
            **log_fields,
        )
        if retrying:
            metrics.RETRIES.add(outcome)
