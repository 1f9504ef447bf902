"""Calls to plain services: whole answers, repeated only where allowed."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._answers import pass_on
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._sender import Sender
from verbenahall.platform import SendOrder
from verbenahall.requests import Outcome
from verbenahall.roster import Entry

#: A further attempt needs this share of the objective at least: less time
#: would hardly bring an answer.
_LEAST_LEFT: Final = 0.25
#: Load that an endpoint of another data centre is thought to have more, in
#: places: a call there takes some milliseconds longer.
_REMOTE_LOAD: Final = 0.5
#: Load that an endpoint is thought to have more that fails every request.
_FAILING_LOAD: Final = 8.0
#: Share of the time left that a first attempt of a repeatable call gets, so
#: that a silent endpoint leaves time for another one.
_FIRST_SHARE: Final = 0.5


@final
class PlainFlow:
    """One call to a plain service, from its choice of endpoint to its end."""

    __slots__ = (
        '_core',
        '_sender',
        '_call',
        '_attempts',
        '_fallback',
        '_counted',
    )

    def __init__(self, core: Core, sender: Sender, call: Call) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._core = core
        self._sender = sender
        self._call = call
        self._attempts = Attempts(core, call)
        self._fallback: Answered | None = None
        self._counted = False

    async def run(self) -> web.StreamResponse:
        """Send until an answer is final; return it."""
        try:
            return await self._run()
        finally:
            metrics.ATTEMPTS.add(str(self._attempts.begun))

    async def _run(self) -> web.StreamResponse:
        final_answer: web.StreamResponse | None = None
        while final_answer is None:
            now = self._core.now()
            fresh = self._list_fresh(now)
            endpoint = choose_plain(self._core, fresh, now)
            if endpoint is None:
                return self._give_up(self._describe_none_left())
            others = len(fresh) > 1
            result = await self._send(endpoint, others=others)
            final_answer = self._judge(endpoint, result)
        return final_answer

    def _list_fresh(self, now: float) -> Sequence[Entry]:
        """Return the endpoints that got this call not yet."""
        live = self._core.roster.live(self._call.service.name, now)
        tried = self._attempts.tried
        return [one for one in live if one.name not in tried]

    async def _send(
        self,
        endpoint: Entry,
        *,
        others: bool,
    ) -> Result[Answered, Outcome]:
        """Send; keep time for another endpoint if there are ``others``."""
        call = self._call
        self._attempts.begun += 1
        now = self._core.now()
        until = call.deadline
        may_repeat = call.route.repeatable and self._attempts.may_run_again
        if others and may_repeat:
            until = now + call.left_s(now) * _FIRST_SHARE
        order = SendOrder(endpoint.name, call.left_s(now))
        result = await self._sender.exchange(call, endpoint, order, until)
        self._attempts.note(endpoint.name, result)
        if self._attempts.runs == 1:
            self._count(self._core.now() - now)
        return result

    def _count(self, ago_s: float) -> None:
        """Count the request once it has, or may have, begun to run."""
        workspace = self._call.workspace
        if workspace is not None and not self._counted:
            self._core.meter.note_begun(workspace.name, ago_s)
        self._counted = True

    def _judge(
        self,
        endpoint: Entry,
        result: Result[Answered, Outcome],
    ) -> web.StreamResponse | None:
        """Return the final answer; None for another attempt."""
        match result:
            case Success(answered):
                if not self._may_improve(endpoint, answered):
                    return pass_on(answered)
                self._fallback = answered
            case Failure(outcome):
                problem = self._attempts.go_on(outcome, endpoint=endpoint.name)
                if problem is not None:
                    return self._give_up(problem)
        return None

    def _may_improve(self, endpoint: Entry, answered: Answered) -> bool:
        """Whether another endpoint may do better than this answer."""
        call = self._call
        failed = answered.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if not failed or not call.route.repeatable:
            return False
        if self._attempts.runs >= call.route.max_attempts:
            return False
        left_s = call.left_s(self._core.now())
        if left_s < call.route.objective_s * _LEAST_LEFT:
            return False
        self._attempts.tried.add(endpoint.name)
        return self._attempts.improve(endpoint.name, answered.status)

    def _give_up(self, problem: Problem) -> web.StreamResponse:
        """Answer with an endpoint's own failure rather than with ours."""
        if self._fallback is not None:
            return pass_on(self._fallback)
        return self._attempts.give_up(problem)

    def _describe_none_left(self) -> Problem:
        return Problem(
            ErrorKind.NO_ENDPOINT,
            'no endpoint of the service is left to try',
            Ran.NO,
            retry_after_s=self._call.route.objective_s,
        )


def choose_plain(
    core: Core,
    endpoints: Sequence[Entry],
    now: float,
) -> Entry | None:
    """Choose the endpoint with the least load, near ones first."""
    usable = [
        one for one in endpoints if not core.standings.paused(one.name, now)
    ]
    return min(
        usable or endpoints,
        key=lambda one: (_weigh(core, one, now), core.random.random()),
        default=None,
    )


def _weigh(core: Core, endpoint: Entry, now: float) -> float:
    standing = core.standings.of(endpoint.name)
    failing = core.standings.failing(endpoint.name, now)
    load = standing.open + failing * _FAILING_LOAD
    if endpoint.data_centre != core.settings.data_centre:
        load += _REMOTE_LOAD
    return load
