"""Decides whether a failed attempt is retried, for all kinds of requests.

An attempt certainly did not run in two cases only: none of its bytes were
written, or the endpoint refused it before starting. After any other failure
it may have run, and only a request that is safe to run twice is retried.
"""

import random
from typing import Final

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.requests._budget import (
    DeferredBudget,
    RetryBudget,
    WindowBudget,
)
from verbenahall.requests._messages import GiveUp, Retry, RetryContext
from verbenahall.requests._not_sent import (
    BackingOff,
    Limited,
    Quarantined,
    Stopping,
    Unauthorized,
)
from verbenahall.requests._outcomes import (
    Broken,
    NeverWritten,
    Outcome,
    Refused,
    Silent,
    TimedOut,
    Unprepared,
)

#: Attempts per request. Refused attempts of urgent requests cost the fleet
#: nothing, so there may be more of them.
_MAX_ATTEMPTS: Final = 4
_MAX_URGENT_ATTEMPTS: Final = 12
#: Upper bound of the first delay; it doubles with each attempt.
_FIRST_DELAY_S: Final = 0.02
_MAX_DELAY_S: Final = 1.0
#: Retry-After of a stopping instance, in seconds: callers may retry at once,
#: as the balancer sends them to another instance.
_STOPPING_RETRY_AFTER_S: Final = 0.05


def decide_retry(
    outcome: Outcome,
    retry_context: RetryContext,
    budget: RetryBudget | WindowBudget | DeferredBudget,
    rng: random.Random,
    now: float,
) -> Retry | GiveUp:
    """Decide between a retry and a final problem for the caller."""
    if not _is_retryable(outcome, retry_context):
        return GiveUp(build_problem(outcome, retry_context))
    delay = _compute_backoff(retry_context.attempts, rng)
    if now + delay >= retry_context.deadline or not _is_within_limits(
        outcome,
        retry_context,
        budget,
    ):
        return GiveUp(build_problem(outcome, retry_context))
    return Retry(delay, get_outcome_label(outcome))


def build_problem(outcome: Outcome, retry_context: RetryContext) -> Problem:
    """Return the problem that answers a request after its last attempt."""
    ran = Ran.UNKNOWN if retry_context.may_have_run_before else Ran.NO
    match outcome:
        case TimedOut():
            message = 'the deadline passed after the request was sent'
            return Problem(ErrorKind.DEADLINE_EXCEEDED, message, Ran.UNKNOWN)
        case _ if retry_context.delivered:
            message = f'the answer was truncated: {get_outcome_label(outcome)}'
            return Problem(ErrorKind.ANSWER_TRUNCATED, message)
        case Unprepared(detail):
            message = f'the request was not sent: {detail}'
            return Problem(ErrorKind.NO_ENDPOINT, message, ran)
        case NeverWritten(detail):
            message = f'the endpoint could not be reached: {detail}'
            return Problem(ErrorKind.ENDPOINT_FAILED, message, ran)
        case Quarantined() | Limited() | BackingOff() | Stopping():
            return _build_held_back(outcome, ran)
        case Unauthorized():
            message = 'the API key is no longer valid'
            return Problem(ErrorKind.UNAUTHORIZED, message, ran)
        case Refused(status):
            message = f'the endpoint refused the request with status {status}'
            return Problem(ErrorKind.OVERLOADED, message, ran)
        case Silent():
            return _build_failure(
                'it has sent nothing for a while', retry_context
            )
        case Broken(detail):
            return _build_failure(detail, retry_context)


def build_quarantine_problem(left_s: float, ran: Ran = Ran.NO) -> Problem:
    """Return the problem of a request in quarantine for ``left_s`` seconds."""
    message = 'the request is in quarantine: endpoints crashed while running it'
    return Problem(ErrorKind.QUARANTINED, message, ran, left_s)


def build_stopping_problem(ran: Ran = Ran.NO) -> Problem:
    """Return the problem of a request that a stop does not bear."""
    message = 'the instance is stopping'
    return Problem(ErrorKind.NOT_READY, message, ran, _STOPPING_RETRY_AFTER_S)


def may_have_run(outcome: Outcome) -> bool:
    """Whether an attempt with this outcome may have run."""
    return outcome != Silent(executes=False) and not isinstance(
        outcome,
        NeverWritten
        | Unprepared
        | Refused
        | Quarantined
        | Limited
        | BackingOff
        | Stopping
        | Unauthorized,
    )


def is_charged(outcome: Outcome) -> bool:
    """Whether a retry after this outcome is charged to the budget.

    Attempts that reached no endpoint put no load on the fleet, so they are not
    charged. When they were, the failed connects after a crash used up the
    budget that the streams broken by it needed in order to resume.
    """
    return not isinstance(outcome, NeverWritten | Limited | BackingOff)


def get_outcome_label(outcome: Outcome) -> str:
    """Return the label of an outcome in logs and metrics."""
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
        case BackingOff():
            return 'backing_off'
        case Stopping():
            return 'stopping'
        case Unauthorized():
            return 'unauthorized'
        case Broken():
            return 'broken'
        case Silent():
            return 'silent'
        case TimedOut():
            return 'timed_out'


def _build_held_back(
    outcome: Quarantined | Limited | BackingOff | Stopping, ran: Ran
) -> Problem:
    """Return the problem of a request that is not sent at present."""
    match outcome:
        case Quarantined(left_s):
            return build_quarantine_problem(left_s, ran)
        case Limited(wait_s):
            message = 'the endpoint accepts no more requests at present'
            return Problem(ErrorKind.OVERLOADED, message, ran, wait_s)
        case BackingOff(left_s):
            message = 'the endpoint has requested a backoff'
            return Problem(ErrorKind.OVERLOADED, message, ran, left_s)
        case Stopping():
            return build_stopping_problem(ran)


def _build_failure(detail: str, retry_context: RetryContext) -> Problem:
    if retry_context.repeatable:
        message = f'the endpoint failed: {detail}'
        return Problem(ErrorKind.ENDPOINT_FAILED, message, Ran.UNKNOWN)
    message = f'it is unknown whether the request ran: {detail}'
    return Problem(ErrorKind.OUTCOME_UNKNOWN, message)


def _is_retryable(outcome: Outcome, retry_context: RetryContext) -> bool:
    if retry_context.delivered and not retry_context.resumable:
        return False
    if retry_context.is_left_to_other:
        return False
    match outcome:
        case (
            NeverWritten() | Unprepared() | Refused() | Limited() | BackingOff()
        ):
            return True
        case Broken():
            return retry_context.repeatable
        case Silent(executes):
            return retry_context.repeatable or not executes
        case TimedOut() | Quarantined() | Stopping() | Unauthorized():
            return False


def _is_within_limits(
    outcome: Outcome,
    retry_context: RetryContext,
    budget: RetryBudget | WindowBudget | DeferredBudget,
) -> bool:
    """Whether the limits on attempts and the budget allow a retry.

    A refused attempt costs the fleet nothing, and an urgent request must not
    depend on the budget that other requests' retries use. So urgent requests
    that are refused get more attempts, outside the budget.
    """
    if retry_context.max_runs and retry_context.runs >= retry_context.max_runs:
        return False
    if retry_context.urgent and isinstance(outcome, Refused):
        return retry_context.attempts < _MAX_URGENT_ATTEMPTS
    if retry_context.attempts >= _MAX_ATTEMPTS:
        return False
    return not is_charged(outcome) or budget.try_spend(retry_context.send_count)


def _compute_backoff(attempts: int, rng: random.Random) -> float:
    """Return a random delay below a bound that doubles with each attempt.

    The jitter covers the whole range (full jitter): requests that failed at
    the same time must not be retried at the same time.
    """
    max_delay_s = _FIRST_DELAY_S * 2 ** (attempts - 1)
    return rng.uniform(0, min(max_delay_s, _MAX_DELAY_S))
