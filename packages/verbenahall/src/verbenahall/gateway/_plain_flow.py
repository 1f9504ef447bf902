"""Calls to plain services: unstreamed answers, with retries if allowed."""

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
from verbenahall.platform import SendOptions
from verbenahall.requests import Outcome
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
#: Share of the remaining time for an attempt of a repeatable call that can be
#: retried, so that an endpoint that doesn't respond leaves time for another.
_FIRST_ATTEMPT_SHARE: Final = 0.5


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
            return await self._run()
        finally:
            metrics.ATTEMPTS.add(str(self._attempts.started))

    async def _run(self) -> web.StreamResponse:
        final_answer: web.StreamResponse | None = None
        while final_answer is None:
            if await self._core.forwarder.should_forward(self._attempts):
                return await self._core.forwarder.run(self._attempts)
            now = self._core.now()
            untried = self._list_untried(now)
            endpoint = choose_endpoint(self._core, untried, now)
            if endpoint is None:
                if await await_slow_start(
                    self._core, self._call, self._attempts.tried
                ):
                    continue
                return self._abandon(self._make_no_endpoint_problem())
            others = len(untried) > 1
            result = await self._send(endpoint, others=others)
            final_answer = self._handle_result(endpoint, result)
        return final_answer

    def _list_untried(self, now: float) -> Sequence[Entry]:
        """Return the available endpoints that have not failed this call."""
        available = self._core.endpoints.list_available(
            self._call.service.name, now
        )
        tried = self._attempts.tried
        return [one for one in available if one.name not in tried]

    async def _send(
        self,
        endpoint: Entry,
        *,
        others: bool,
    ) -> Result[Answered, Outcome]:
        """Send once; with ``others``, leave time for another endpoint."""
        call = self._call
        self._attempts.started += 1
        now = self._core.now()
        until = call.deadline
        may_repeat = call.route.repeatable and self._attempts.may_run_again
        if others and may_repeat:
            until = now + call.left_s(now) * _FIRST_ATTEMPT_SHARE
        options = SendOptions(endpoint.name, call.left_s(now))
        result = await self._sender.exchange(call, endpoint, options, until)
        self._attempts.record(endpoint.name, result)
        if self._attempts.runs == 1:
            self._attempts.count_usage(self._core.now() - now)
        return result

    def _handle_result(
        self,
        endpoint: Entry,
        result: Result[Answered, Outcome],
    ) -> web.StreamResponse | None:
        """Return the final answer; None for another attempt."""
        match result:
            case Success(answered):
                if not self._may_retry_answer(endpoint, answered):
                    return build_answer_response(answered)
                self._fallback = answered
            case Failure(outcome):
                problem = self._attempts.handle_failure(
                    outcome, endpoint=endpoint.name
                )
                if problem is not None:
                    return self._abandon(problem)
        return None

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
