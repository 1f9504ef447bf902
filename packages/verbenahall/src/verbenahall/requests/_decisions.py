"""What follows a failed attempt: the one place that decides on retries.

An attempt surely did not run in two cases only: no byte of it was written,
or the endpoint refused it before starting. After any other end it may have
run, and only a request that may run twice is sent again.
"""

import random
from typing import Final

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.requests._budget import RetryBudget, WindowBudget
from verbenahall.requests._hindrances import (
    Limited,
    Quarantined,
    Unauthorized,
)
from verbenahall.requests._messages import Facts, GiveUp, Retry
from verbenahall.requests._outcomes import (
    Broken,
    NeverWritten,
    Outcome,
    Refused,
    TimedOut,
    Unprepared,
)

_MOST_ATTEMPTS: Final = 4
_MOST_URGENT_ATTEMPTS: Final = 12
_FIRST_DELAY_S: Final = 0.02
_LONGEST_DELAY_S: Final = 1.0


def decide_next(
    outcome: Outcome,
    facts: Facts,
    budget: RetryBudget | WindowBudget,
    source: random.Random,
    now: float,
) -> Retry | GiveUp:
    """Decide between another attempt and a final answer."""
    if not _may_repeat(outcome, facts):
        return GiveUp(conclude(outcome, facts))
    delay = _back_off(facts.attempts, source)
    if now + delay >= facts.deadline or not _may_afford(
        outcome,
        facts,
        budget,
    ):
        return GiveUp(conclude(outcome, facts))
    return Retry(delay, name_outcome(outcome))


def conclude(outcome: Outcome, facts: Facts) -> Problem:
    """Say what became of a request whose last attempt ended so."""
    ran = Ran.UNKNOWN if facts.unknown else Ran.NO
    match outcome:
        case TimedOut():
            message = 'the deadline passed after the request was sent'
            return Problem(ErrorKind.DEADLINE_EXCEEDED, message, Ran.UNKNOWN)
        case _ if facts.delivered:
            message = f'the answer ends early: {name_outcome(outcome)}'
            return Problem(ErrorKind.ANSWER_TRUNCATED, message)
        case Unprepared(detail):
            message = f'the request was not sent: {detail}'
            return Problem(ErrorKind.NO_ENDPOINT, message, ran)
        case NeverWritten(detail):
            message = f'the endpoint could not be reached: {detail}'
            return Problem(ErrorKind.ENDPOINT_FAILED, message, ran)
        case Quarantined(left_s):
            return describe_quarantine(left_s, ran)
        case Limited(wait_s):
            message = 'the endpoint takes no more requests now'
            return Problem(ErrorKind.OVERLOADED, message, ran, wait_s)
        case Unauthorized():
            message = 'the API key is no longer in force'
            return Problem(ErrorKind.UNAUTHORIZED, message, ran)
        case Refused(status):
            message = f'the endpoint refused with status {status}'
            return Problem(ErrorKind.OVERLOADED, message, ran)
        case Broken(detail) if facts.repeatable:
            message = f'the endpoint failed: {detail}'
            return Problem(ErrorKind.ENDPOINT_FAILED, message, Ran.UNKNOWN)
        case Broken(detail):
            message = f'whether it ran is not known: {detail}'
            return Problem(ErrorKind.OUTCOME_UNKNOWN, message)


def describe_quarantine(left_s: float, ran: Ran = Ran.NO) -> Problem:
    """Say that a request is not sent for so many seconds."""
    message = 'endpoints have crashed under this request'
    return Problem(ErrorKind.QUARANTINED, message, ran, left_s)


def may_have_run(outcome: Outcome) -> bool:
    """Whether a request may have run whose attempt failed so."""
    return not isinstance(
        outcome,
        NeverWritten
        | Unprepared
        | Refused
        | Quarantined
        | Limited
        | Unauthorized,
    )


def name_outcome(outcome: Outcome) -> str:
    """Return the outcome's word in logs and metrics."""
    match outcome:
        case NeverWritten():
            return 'never_written'
        case Unprepared():
            return 'unprepared'
        case Refused():
            return 'refused'
        case Quarantined():
            return 'quarantined'
        case Limited():
            return 'limited'
        case Unauthorized():
            return 'unauthorized'
        case Broken():
            return 'broken'
        case TimedOut():
            return 'timed_out'


def _may_repeat(outcome: Outcome, facts: Facts) -> bool:
    if facts.delivered and not facts.resumable:
        return False
    match outcome:
        case NeverWritten() | Unprepared() | Refused() | Limited():
            return True
        case Broken():
            return facts.repeatable
        case TimedOut() | Quarantined() | Unauthorized():
            return False


def _may_afford(
    outcome: Outcome,
    facts: Facts,
    budget: RetryBudget | WindowBudget,
) -> bool:
    """Whether a further attempt is within the bounds.

    A flag that is refused costs the fleet nothing and must not wait behind
    other requests' retries, so it is tried longer and outside the budget.
    """
    if facts.most_runs and facts.runs >= facts.most_runs:
        return False
    if facts.urgent and isinstance(outcome, Refused):
        return facts.attempts < _MOST_URGENT_ATTEMPTS
    if facts.attempts >= _MOST_ATTEMPTS:
        return False
    # What reached no endpoint has put no load on the fleet. Paid for, the
    # failed connects of one crash used up the budget that streams which broke
    # in the same crash needed to be resumed.
    unsent = isinstance(outcome, NeverWritten | Limited)
    return unsent or budget.spend(facts.resends)


def _back_off(attempts: int, source: random.Random) -> float:
    """Return a delay between zero and the doubled bound of this attempt.

    The jitter is the whole delay: callers that failed together would
    otherwise come back together.
    """
    bound = _FIRST_DELAY_S * 2 ** (attempts - 1)
    return source.uniform(0, min(bound, _LONGEST_DELAY_S))
