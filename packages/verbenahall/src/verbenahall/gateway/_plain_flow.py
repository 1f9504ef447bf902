"""Calls to plain services: unstreamed answers, with retries if allowed."""

import asyncio
import functools
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._answers import build_answer_response
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered
from verbenahall.gateway._sender import Sender
from verbenahall.gateway._shortages import await_slow_start, find_cause
from verbenahall.hedging import Branch, Race, Stage, find_plain_idle_s
from verbenahall.platform import SendOptions
from verbenahall.requests import Outcome, Silent
from verbenahall.roster import Entry

#: Least share of the objective that must be left to retry an error answer:
#: an attempt with less time would rarely be answered.
_MIN_LEFT_SHARE: Final = 0.25
#: Load added to an endpoint in another data centre, in open calls: a call
#: there takes some milliseconds longer.
_REMOTE_LOAD: Final = 0.5
#: Load added to an endpoint that fails every request, in open calls; less in
#: proportion for a lower share of failures.
_FAILING_LOAD: Final = 8.0
#: The response for the caller, or why there is none.
_PlainResult = Result[web.StreamResponse, Problem]


@final
class PlainFlow:
    """Handles one call to a plain service, with its retries."""

    __slots__ = (
        '_core',
        '_sender',
        '_call',
        '_attempts',
        '_fallback',
    )

    def __init__(self, core: Core, sender: Sender, attempts: Attempts) -> None:
        """Store the arguments; nothing is sent before ``run``."""
        self._core = core
        self._sender = sender
        self._call = attempts.call
        self._attempts = attempts
        self._fallback: Answered | None = None

    async def run(self) -> web.StreamResponse:
        """Make attempts until an answer is final; return it."""
        try:
            match await Race(self._run_branch).run():
                case Success(response):
                    return response
                case Failure(problem):
                    return self._abandon(problem)
        finally:
            metrics.ATTEMPTS.add(str(self._attempts.started))
        raise AssertionError('a result is a success or a failure')

    async def _run_branch(self, branch: Branch) -> _PlainResult:
        ended: _PlainResult | None = None
        while ended is None:
            if await self._core.forwarder.should_forward(self._attempts):
                return await self._core.forwarder.run(self._attempts, branch)
            now = self._core.now()
            untried = self._list_untried(now)
            endpoint = choose_endpoint(self._core, untried, now)
            if endpoint is None:
                if await await_slow_start(
                    self._core, self._call, self._attempts.tried
                ):
                    continue
                return Failure(self._make_no_endpoint_problem())
            result = await self._send(endpoint, branch)
            ended = self._handle_result(endpoint, branch, result)
        return ended

    def _list_untried(self, now: float) -> Sequence[Entry]:
        """Return the available endpoints that have not failed this call."""
        available = self._core.endpoints.list_available(
            self._call.service.name, now
        )
        tried = self._attempts.tried
        return [one for one in available if one.name not in tried]

    async def _send(
        self, endpoint: Entry, branch: Branch
    ) -> Result[Answered, Outcome]:
        """Send once; a repeatable call is hedged if there is no answer."""
        call = self._call
        self._attempts.started += 1
        now = self._core.now()
        branch.enter(Stage.RUNNING)
        branch.may_hedge = functools.partial(self._may_hedge, endpoint)
        idle_s: float | None = None
        if call.route.repeatable:
            idle_s = find_plain_idle_s(call.left_s(now))
        options = SendOptions(endpoint.name, call.left_s(now))
        try:
            result = await self._sender.exchange(
                call,
                endpoint,
                options,
                call.deadline,
                functools.partial(branch.expect_progress, idle_s),
            )
        except asyncio.CancelledError:
            if branch.is_superseded:
                self._attempts.record_superseded(endpoint.name)
            raise
        branch.expect_progress(None)
        self._attempts.record(endpoint.name, result)
        if self._attempts.runs:
            self._attempts.count_usage(self._core.now() - now)
        return result

    def _may_hedge(self, endpoint: Entry) -> bool:
        """Whether the call may be sent to another endpoint as well."""
        now = self._core.now()
        others = [
            one for one in self._list_untried(now) if one.name != endpoint.name
        ]
        is_lost = self._core.reach.is_lost(endpoint.service)
        may_forward = is_lost and self._call.hop is None
        if not (others or may_forward) or not self._attempts.may_hedge(
            Silent(), endpoint.name
        ):
            return False
        self._sender.record_outcome(endpoint, good=False)
        return True

    def _handle_result(
        self,
        endpoint: Entry,
        branch: Branch,
        result: Result[Answered, Outcome],
    ) -> _PlainResult | None:
        """Return the result of the branch; None for another attempt."""
        match result:
            case Success(answered):
                return self._handle_answer(endpoint, branch, answered)
            case Failure(outcome):
                problem = self._attempts.handle_failure(
                    outcome, branch, endpoint=endpoint.name
                )
                return None if problem is None else Failure(problem)
        raise AssertionError('a result is a success or a failure')

    def _handle_answer(
        self, endpoint: Entry, branch: Branch, answered: Answered
    ) -> _PlainResult | None:
        failed = answered.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and not branch.is_alone:
            # An endpoint that is silent may still have a better answer.
            self._fallback = answered
            message = f'the endpoint failed with status {answered.status}'
            return Failure(Problem(ErrorKind.ENDPOINT_FAILED, message))
        if self._may_retry_answer(endpoint, answered):
            self._fallback = answered
            return None
        return Success(build_answer_response(answered))

    def _may_retry_answer(self, endpoint: Entry, answered: Answered) -> bool:
        """Decide whether to retry an error answer at another endpoint."""
        call = self._call
        failed = answered.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if not failed or not call.route.repeatable:
            return False
        if self._attempts.runs >= call.route.max_attempts:
            return False
        left_s = call.left_s(self._core.now())
        if left_s < call.route.objective_s * _MIN_LEFT_SHARE:
            return False
        self._attempts.tried.add(endpoint.name)
        if not self._list_untried(self._core.now()):
            return False
        return self._attempts.retry_failed_answer(
            endpoint.name, answered.status
        )

    def _abandon(self, problem: Problem) -> web.StreamResponse:
        """Return the last error answer of an endpoint, if there is one.

        Otherwise return a response for ``problem``.
        """
        if self._fallback is not None:
            return build_answer_response(self._fallback)
        return self._attempts.abandon(problem)

    def _make_no_endpoint_problem(self) -> Problem:
        problem = Problem(
            ErrorKind.NO_ENDPOINT,
            'no endpoint of the service is left to try',
            Ran.NO,
            retry_after_s=self._call.route.objective_s,
        )
        return find_cause(self._core, self._call, problem)


def choose_endpoint(
    core: Core,
    endpoints: Sequence[Entry],
    now: float,
) -> Entry | None:
    """Choose the endpoint with the least load, local ones preferred.

    Endpoints that are avoided for now are used only if there is no other.
    """
    usable = [
        one
        for one in endpoints
        if not core.endpoint_health.is_avoided(one.name, now)
    ]
    return min(
        usable or endpoints,
        key=lambda one: (_estimate_load(core, one, now), core.random.random()),
        default=None,
    )


def _estimate_load(core: Core, endpoint: Entry, now: float) -> float:
    health = core.endpoint_health.get(endpoint.name)
    failure_rate = core.endpoint_health.failure_rate(endpoint.name, now)
    load = health.open + failure_rate * _FAILING_LOAD
    if endpoint.data_centre != core.settings.data_centre:
        load += _REMOTE_LOAD
    return load
