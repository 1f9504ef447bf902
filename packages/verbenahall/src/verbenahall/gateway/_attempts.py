"""Counts the attempts at one call and decides on retries."""

import dataclasses
from typing import Any, final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran, limit_retry_after
from verbenahall.gateway._answer_ends import AnswerEnd, classify_given_up
from verbenahall.gateway._answers import build_problem_response
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.hedging import Branch
from verbenahall.requests import (
    DeferredBudget,
    GiveUp,
    RetryContext,
    Outcome,
    Silent,
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
    ``tried`` holds the names of the endpoints that failed an attempt or are
    silent, and ``tried_peers`` those of peers. ``is_charged`` is whether the
    retries so far were charged to the budget of this instance. The pause
    of a ``Retry`` is ignored: the next attempt goes to another endpoint, and
    callers disconnect after two seconds without an answer.
    """

    __slots__ = (
        'call',
        'end',
        'engaged_engines',
        'is_charged',
        'is_metered',
        'reason',
        'runs',
        'started',
        'tried',
        'tried_peers',
        '_budget',
        '_core',
        '_counted_silent',
        '_not_hedged',
        '_run_failure',
    )

    def __init__(self, core: Core, call: Call) -> None:
        """Start without attempts of this instance."""
        self.call = call
        self.end = AnswerEnd.WHOLE
        self.reason: str | None = None
        self.is_charged = True
        #: Names of the engines at which an attempt is open.
        self.engaged_engines: set[str] = set()
        #: Names of the silent endpoints whose open attempt counts as a run.
        self._counted_silent: set[str] = set()
        #: Names of the silent endpoints for which that was logged.
        self._not_hedged: set[str] = set()
        self._run_failure: Outcome | None = None
        self.is_metered = call.hop is not None and call.hop.is_metered
        self.started = 0
        self.runs = call.hop.runs if call.hop else 0
        self.tried: set[str] = set()
        self.tried_peers: set[str] = set()
        self._core = core
        self._budget = core.get_retry_budget(call.service.name)

    def record(self, endpoint: str, result: Result[Any, Outcome]) -> None:
        """Record the result of a send that may have run the request."""
        ran = True
        if isinstance(result, Failure):
            self.tried.add(endpoint)
            ran = may_have_run(result.failure())
        # A silent attempt was counted as a run before its outcome was known.
        self.runs += ran - (endpoint in self._counted_silent)
        self._counted_silent.discard(endpoint)

    def record_superseded(self, endpoint: str) -> None:
        """Record the end of an attempt that another one has overtaken."""
        self.runs += endpoint not in self._counted_silent
        self._counted_silent.discard(endpoint)

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
        branch: Branch,
        *,
        delivered: bool = False,
        send_count: int = 1,
        budget: DeferredBudget | None = None,
        **log_fields: Any,
    ) -> Problem | None:
        """Return the problem that ends a branch; None for another attempt.

        ``delivered`` means that the caller has part of an answer already.
        ``send_count`` is how many sends another attempt takes; they are charged
        to ``budget``, by default that of the service. ``log_fields`` are
        further fields of the log line, such as the endpoints that failed.
        """
        ran = may_have_run(outcome)
        if ran:
            self._run_failure = outcome
        retry_context = dataclasses.replace(
            self._make_retry_context(delivered, send_count),
            is_left_to_other=not branch.may_retry(ran=ran),
        )
        step = self._decide(outcome, retry_context, budget)
        problem = step.problem if isinstance(step, GiveUp) else None
        if problem is not None and ran and self.call.route.is_exclusive:
            # Nothing that another branch prepares may be sent any more.
            branch.end_others()
        self._log_failure(
            get_outcome_label(outcome), str(outcome), not problem, log_fields
        )
        return problem

    def may_hedge(
        self,
        silent: Silent,
        endpoint: str,
        *,
        delivered: bool = False,
        send_count: int = 1,
        budget: DeferredBudget | None = None,
    ) -> bool:
        """Whether another attempt may begin beside a silent one.

        It is charged to the budget as a retry. The arguments are those of
        ``handle_failure``.
        """
        retry_context = self._make_retry_context(delivered, send_count)
        if silent.executes and endpoint not in self._counted_silent:
            runs = retry_context.runs + 1
            retry_context = dataclasses.replace(retry_context, runs=runs)
        step = self._decide(silent, retry_context, budget)
        allowed = not isinstance(step, GiveUp)
        if allowed:
            self._count_silent(endpoint, silent)
        if allowed or endpoint not in self._not_hedged:
            self._not_hedged.add(endpoint)
            metrics.HEDGES.add('begun' if allowed else 'not_allowed')
            journal.write_decision(
                'silent',
                request=self.call.head.identity,
                endpoint=endpoint,
                attempts=self.started,
                runs=self.runs,
                hedged=allowed,
            )
        return allowed

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

    def _decide(
        self,
        outcome: Outcome,
        retry_context: RetryContext,
        budget: DeferredBudget | None,
    ) -> object:
        step = decide_retry(
            outcome,
            retry_context,
            budget or self._budget,
            self._core.random,
            self._core.now(),
        )
        if budget is not None and not isinstance(step, GiveUp):
            self.is_charged = False
        return step

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

    def _count_silent(self, endpoint: str, silent: Silent) -> None:
        """Count an open attempt as a run if it may become one."""
        metrics.RETRIES.add(get_outcome_label(silent))
        self.tried.add(endpoint)
        if silent.executes:
            self.runs += endpoint not in self._counted_silent
            self._counted_silent.add(endpoint)

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
