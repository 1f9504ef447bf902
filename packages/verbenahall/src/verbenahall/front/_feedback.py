"""Updates the state of an endpoint from the outcome of an attempt."""

from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.fleet import Endpoint
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.journal import write_decision
from verbenahall.load import record_failure
from verbenahall.requests import Broken, NeverWritten, Outcome, Refused

#: Status of an engine that does not have the model loaded.
_CONFLICT: Final = 409


def get_incarnation_key(endpoint: Endpoint) -> tuple[str, str]:
    """Return the key of what is known of one incarnation of an endpoint."""
    return (endpoint.name, endpoint.incarnation)


def may_still_run(result: Result[Any, Outcome]) -> bool:
    """Whether the endpoint may still be working on a finished attempt."""
    match result:
        case Success(_) | Failure(NeverWritten() | Refused()):
            return False
        case Failure(Broken(answered=True)):
            return False
        case _:
            return True


def record_outcome(
    dependencies: FrontDependencies,
    endpoint: Endpoint,
    result: Result[Any, Outcome],
) -> None:
    """Update load, membership and engine states from an attempt's outcome."""
    name = endpoint.name
    match result:
        case Failure(Broken(answered=True)):
            # The endpoint answered, so it is alive: otherwise one request
            # that fails on every engine would mark all of them as down.
            record_failure(dependencies.load, name, dependencies.clock())
            dependencies.report_answer(name)
        case Failure(NeverWritten() | Broken()):
            record_failure(dependencies.load, name, dependencies.clock())
            dependencies.report_failure(name)
        case Failure(Refused(status, backoff_s)):
            _record_backoff(dependencies, endpoint, backoff_s)
            # The state is outdated; until the next poll it would route
            # further requests to an engine that cannot serve them.
            if status == _CONFLICT:
                dependencies.states.remove(name)
            dependencies.report_answer(name)
        case Success(_):
            dependencies.report_answer(name)


def _record_backoff(
    dependencies: FrontDependencies, endpoint: Endpoint, backoff_s: float
) -> None:
    """Record how long an endpoint wants no request, if it states that."""
    if backoff_s:
        dependencies.backoffs.begin_backoff(
            get_incarnation_key(endpoint), backoff_s, dependencies.clock()
        )
        write_decision(
            'backoff_requested', endpoint=endpoint.name, for_s=backoff_s
        )
