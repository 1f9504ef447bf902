"""Calls to plain services: whole answers, repeated only where allowed."""

from collections.abc import Sequence
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.gateway._answers import answer_with, pass_on
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.gateway._sender import Sender
from verbenahall.platform import SendOrder
from verbenahall.requests import (
    Facts,
    NeverWritten,
    Outcome,
    Refused,
    Retry,
    conclude,
    decide_next,
    name_outcome,
)
from verbenahall.roster import Entry

_SERVER_ERROR: Final = 500
_NONE_LEFT: Final = ErrorKind.NO_ENDPOINT
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
        '_budget',
        '_fallback',
        '_tried',
        '_sends',
        '_runs',
    )

    def __init__(self, core: Core, sender: Sender, call: Call) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._core = core
        self._sender = sender
        self._call = call
        self._budget = core.budget_of(call.service.name)
        self._fallback: Answered | None = None
        self._tried: set[str] = set()
        self._sends = 0
        self._runs = 0

    async def run(self) -> web.StreamResponse:
        """Send until an answer is final; return it."""
        final_answer: web.StreamResponse | None = None
        while final_answer is None:
            endpoint = self._choose()
            if endpoint is None:
                return self._refuse()
            final_answer = self._judge(endpoint, await self._send(endpoint))
        return final_answer

    def _judge(
        self,
        endpoint: Entry,
        result: Result[Answered, Outcome],
    ) -> web.StreamResponse | None:
        """Return the final answer; None for another attempt."""
        match result:
            case Success(answered):
                if not self._may_improve(answered):
                    return pass_on(answered)
                self._fallback = answered
            case Failure(outcome):
                problem = self._go_on(endpoint, outcome)
                if problem is not None:
                    return self._give_up(problem)
        metrics.RETRIES.add('plain')
        return None

    def _go_on(self, endpoint: Entry, outcome: Outcome) -> Problem | None:
        """Decide what follows a failure; None for another attempt."""
        facts = self._describe()
        step = decide_next(
            outcome,
            facts,
            self._budget,
            self._core.random,
            self._core.now(),
        )
        self._tell(endpoint, name_outcome(outcome), step)
        return None if isinstance(step, Retry) else conclude(outcome, facts)

    def _give_up(self, problem: Problem) -> web.StreamResponse:
        """Answer with an endpoint's own failure rather than with ours."""
        if self._fallback is not None:
            return pass_on(self._fallback)
        return answer_with(problem, self._call.ask.identity)

    def _choose(self) -> Entry | None:
        now = self._core.now()
        live = list(self._core.roster.live(self._call.service.name, now))
        fresh = [one for one in live if one.name not in self._tried]
        return choose_plain(self._core, fresh, now)

    async def _send(self, endpoint: Entry) -> Result[Answered, Outcome]:
        call = self._call
        self._tried.add(endpoint.name)
        self._sends += 1
        now = self._core.now()
        until = call.deadline
        if call.route.repeatable and self._runs + 1 < call.route.max_attempts:
            until = now + call.left_s(now) * _FIRST_SHARE
        order = SendOrder(endpoint.name, call.left_s(now))
        result = await self._sender.exchange(call, endpoint, order, until)
        match result:
            case Failure(Refused() | NeverWritten()):
                pass
            case _:
                self._runs += 1
        return result

    def _may_improve(self, answered: Answered) -> bool:
        """Whether another endpoint may do better than this answer."""
        call = self._call
        if answered.status < _SERVER_ERROR or not call.route.repeatable:
            return False
        if self._runs >= call.route.max_attempts:
            return False
        left_s = call.left_s(self._core.now())
        if left_s < call.route.objective_s * _LEAST_LEFT:
            return False
        return self._budget.spend()

    def _describe(self) -> Facts:
        call = self._call
        return Facts(
            repeatable=call.route.repeatable,
            deadline=call.deadline,
            attempts=self._sends,
            unknown=self._runs > 0,
            runs=self._runs,
            most_runs=call.route.max_attempts,
        )

    def _refuse(self) -> web.StreamResponse:
        ran = Ran.UNKNOWN if self._runs else Ran.NO
        kind = ErrorKind.OUTCOME_UNKNOWN if self._runs else _NONE_LEFT
        problem = Problem(
            kind,
            'no endpoint of the service is left to try',
            ran,
            retry_after_s=self._call.route.objective_s,
        )
        return self._give_up(problem)

    def _tell(self, endpoint: Entry, outcome: str, step: object) -> None:
        journal.write_decision(
            'attempt_failed',
            request=self._call.ask.identity,
            endpoint=endpoint.name,
            outcome=outcome,
            sends=self._sends,
            next='repeat' if isinstance(step, Retry) else 'give_up',
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
