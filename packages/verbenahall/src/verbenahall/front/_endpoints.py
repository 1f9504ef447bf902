"""Code shared by the clients of engines and of plain services."""

import functools
from collections.abc import Callable
from typing import Final, final

import aiohttp
from multidict import CIMultiDictProxy
from yarl import URL

from verbenahall.backoff import read_retry_after
from verbenahall.buffers import ByteBudget
from verbenahall.fleet import Endpoint
from verbenahall.front._messages import RequestHead
from verbenahall.load import Report, parse_report
from verbenahall.requests import Broken, NeverWritten, Outcome, Refused

#: Exceptions of the HTTP client; ``TimeoutError`` is an ``OSError``.
CLIENT_ERRORS: Final = (aiohttp.ClientError, OSError)
_NOT_STARTED_HEADER: Final = 'X-Not-Started'
_RETRY_AFTER_HEADER: Final = 'Retry-After'
_LOAD_HEADER: Final = 'X-Load'
_MS_PER_S: Final = 1000
_SERVER_ERROR: Final = 500
_URL_CACHE_SIZE: Final = 4096

#: Receives the load report of an answer, with the endpoint's name.
ReportSink = Callable[[str, Report], None]


@final
class Sessions:
    """A client session with a connection pool, and one without.

    ``budget`` bounds what is held of whole answers.
    """

    __slots__ = ('budget', 'pooled', 'single_use')

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        single_use: aiohttp.ClientSession,
        budget: ByteBudget,
    ) -> None:
        """Store both sessions, and the bound on what is held."""
        self.budget = budget
        self.pooled = pooled
        self.single_use = single_use

    def select(self, *, repeatable: bool) -> aiohttp.ClientSession:
        """Return the session to use for a call.

        A call that must not be repeated gets a new connection, see
        ``make_session``.
        """
        return self.pooled if repeatable else self.single_use


@functools.lru_cache(maxsize=_URL_CACHE_SIZE)
def build_url(address: str, target: str) -> URL:
    """Return the URL of a raw path and query at an endpoint."""
    return URL(f'http://{address}{target}', encoded=True)


def build_headers(
    head: RequestHead,
    attempt: str,
    content_type: str,
    remaining_s: float,
) -> dict[str, str]:
    """Return the headers that are sent with every attempt."""
    headers = {
        'Content-Type': content_type,
        'X-Attempt-Id': attempt,
        'X-Priority': str(head.ticket.priority),
        'X-Deadline-Ms': str(max(1, int(remaining_s * _MS_PER_S))),
    }
    if head.key:
        headers['Idempotency-Key'] = head.key
    return headers


def forward_report(
    endpoint: Endpoint,
    headers: CIMultiDictProxy[str],
    report_sink: ReportSink,
) -> None:
    """Forward the load report in an answer's headers, if there is one."""
    report = parse_report(headers.get(_LOAD_HEADER, ''))
    if report is not None:
        report_sink(endpoint.name, report)


def classify_status(answer: aiohttp.ClientResponse) -> Outcome | None:
    """Return the failure that the status stands for, or None."""
    if _NOT_STARTED_HEADER in answer.headers:
        backoff = read_retry_after(
            answer.headers.getall(_RETRY_AFTER_HEADER, ()),
            answer.headers.get('Date', ''),
        )
        return Refused(answer.status, backoff.value_or(0))
    if answer.status >= _SERVER_ERROR:
        return Broken(f'status {answer.status}', answered=True)
    return None


def classify_error(error: Exception) -> Outcome:
    """Return the outcome of an attempt that ended in a client error.

    Only a failure to connect proves that nothing was written.
    """
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return NeverWritten(type(error).__name__)
        case _:
            return Broken(type(error).__name__)
