"""Error kinds, and how each is answered.

Every failure that a caller can see has one of the kinds in ``ErrorKind``.
Code that may fail returns a ``returns.result.Result`` whose failure is a
``Problem``; only the HTTP layer turns it into a response::

    Failure(Problem(ErrorKind.OVERLOADED, 'queue of priority 1 is full'))
"""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final


@final
class Ran(enum.Enum):
    """Whether an endpoint started to execute the request, if known."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


@final
class ErrorKind(enum.Enum):
    """All kinds of failure; the value is sent on the wire."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    UNKNOWN_MODEL = 'unknown_model'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    REQUEST_TIMEOUT = 'request_timeout'
    CONFLICT = 'conflict'
    DUPLICATE = 'duplicate'
    TOO_LARGE = 'too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    OVERLOADED = 'overloaded'
    QUOTA_EXCEEDED = 'quota_exceeded'
    QUARANTINED = 'quarantined'
    INTERNAL = 'internal'
    ENDPOINT_FAILED = 'endpoint_failed'
    ANSWER_TRUNCATED = 'answer_truncated'
    NO_ENDPOINT = 'no_endpoint'
    NOT_READY = 'not_ready'
    LOG_UNAVAILABLE = 'log_unavailable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    OUTCOME_UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How a kind is answered.

    ``ran`` is whether the request ran, and ``retry_after_s`` the retry hint in
    seconds.
    """

    status: int
    ran: Ran
    retry_after_s: float | None = None


#: The answer to each kind; a test checks that no kind is missing.
ANSWERS: Final[Mapping[ErrorKind, Answer]] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
        ErrorKind.UNAUTHORIZED: Answer(401, Ran.NO),
        ErrorKind.FORBIDDEN: Answer(403, Ran.NO),
        ErrorKind.NOT_FOUND: Answer(404, Ran.NO),
        ErrorKind.UNKNOWN_MODEL: Answer(404, Ran.NO),
        ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Ran.NO),
        ErrorKind.REQUEST_TIMEOUT: Answer(408, Ran.NO),
        ErrorKind.CONFLICT: Answer(409, Ran.NO),
        ErrorKind.DUPLICATE: Answer(409, Ran.YES),
        ErrorKind.TOO_LARGE: Answer(413, Ran.NO),
        ErrorKind.HEADERS_TOO_LARGE: Answer(431, Ran.NO),
        ErrorKind.OVERLOADED: Answer(429, Ran.NO, 1),
        ErrorKind.QUOTA_EXCEEDED: Answer(429, Ran.NO, 1),
        ErrorKind.QUARANTINED: Answer(429, Ran.NO, 600),
        ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
        ErrorKind.ENDPOINT_FAILED: Answer(502, Ran.UNKNOWN),
        ErrorKind.ANSWER_TRUNCATED: Answer(502, Ran.YES),
        ErrorKind.NO_ENDPOINT: Answer(503, Ran.NO, 2),
        ErrorKind.NOT_READY: Answer(503, Ran.NO, 1),
        ErrorKind.LOG_UNAVAILABLE: Answer(503, Ran.NO, 5),
        ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.UNKNOWN),
        ErrorKind.OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN),
    },
)


#: Longest Retry-After as a share of the time until the caller leaves; the rest
#: is needed to serve the retry.
MAX_RETRY_SHARE: Final = 1 / 3
#: Kinds of failure that may end while the caller waits.
_TEMPORARY_KINDS: Final = frozenset(
    (ErrorKind.OVERLOADED, ErrorKind.NO_ENDPOINT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A failure: its kind and a message for people.

    ``ran`` and ``retry_after_s`` (seconds) override the defaults of the kind
    where the failing code has more precise values.
    """

    kind: ErrorKind
    message: str
    ran: Ran | None = None
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """The answer of the kind, with this problem's overrides."""
        default = ANSWERS[self.kind]
        return Answer(
            status=default.status,
            ran=self.ran or default.ran,
            retry_after_s=(
                default.retry_after_s
                if self.retry_after_s is None
                else self.retry_after_s
            ),
        )


def limit_retry_after(problem: Problem, left_s: float) -> Problem:
    """Return the problem with a Retry-After within the caller's time.

    ``left_s`` is how long the caller still waits, in seconds. Only a lack of
    endpoints may end before that; other kinds keep their Retry-After.
    """
    stated_s = problem.answer.retry_after_s
    if problem.kind not in _TEMPORARY_KINDS or stated_s is None:
        return problem
    longest_s = max(0, left_s * MAX_RETRY_SHARE)
    return dataclasses.replace(problem, retry_after_s=min(stated_s, longest_s))


class VerbenahallError(Exception):
    """Base of every exception that this project raises."""


@final
class ProblemError(VerbenahallError):
    """Carries a ``Problem`` through code that reports errors by raising."""

    def __init__(self, problem: Problem) -> None:
        """Store the problem for the layer that answers."""
        super().__init__(problem.message)
        self.problem = problem


@final
class ConfigError(VerbenahallError):
    """A settings file has faults; the message lists all of them."""
