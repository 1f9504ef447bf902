"""What calls to engines and to plain services have in common."""

import functools
from collections.abc import Callable
from typing import Final, final

import aiohttp
from multidict import CIMultiDictProxy
from yarl import URL

from verbenahall.fleet import Endpoint
from verbenahall.front._messages import Head
from verbenahall.load import Report, parse_report
from verbenahall.requests import Broken, NeverWritten, Outcome, Refused

#: What the HTTP client raises; ``TimeoutError`` is an ``OSError``.
CLIENT_ERRORS: Final = (aiohttp.ClientError, OSError)
NOT_STARTED: Final = 'X-Not-Started'
_LOAD: Final = 'X-Load'
_MS_PER_S: Final = 1000
_SERVER_ERROR: Final = 500
_URLS_KEPT: Final = 4096

#: Takes an endpoint's name and the report that an answer carried.
ReportSink = Callable[[str, Report], None]


@final
class Sessions:
    """A session that keeps connections, and one that never does."""

    __slots__ = ('kept', 'fresh')

    def __init__(
        self,
        kept: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
    ) -> None:
        """Keep both."""
        self.kept = kept
        self.fresh = fresh

    def pick(self, *, repeatable: bool) -> aiohttp.ClientSession:
        """Return the session for a call that may be repeated or not."""
        return self.kept if repeatable else self.fresh


@functools.lru_cache(maxsize=_URLS_KEPT)
def build_url(address: str, target: str) -> URL:
    """Return the URL of a raw path and query at an endpoint."""
    return URL(f'http://{address}{target}', encoded=True)


def build_headers(
    head: Head,
    attempt: str,
    content_type: str,
    remaining_s: float,
) -> dict[str, str]:
    """Return the headers that every attempt carries."""
    headers = {
        'Content-Type': content_type,
        'X-Attempt-Id': attempt,
        'X-Priority': str(head.ticket.priority),
        'X-Deadline-Ms': str(max(1, int(remaining_s * _MS_PER_S))),
    }
    if head.key:
        headers['Idempotency-Key'] = head.key
    return headers


def take_report(
    endpoint: Endpoint,
    headers: CIMultiDictProxy[str],
    sink: ReportSink,
) -> None:
    """Pass on the load report that an answer carries."""
    report = parse_report(headers.get(_LOAD, ''))
    if report is not None:
        sink(endpoint.name, report)


def judge_status(answer: aiohttp.ClientResponse) -> Outcome | None:
    """Return how the attempt failed by its status, or None."""
    if NOT_STARTED in answer.headers:
        return Refused(answer.status)
    if answer.status >= _SERVER_ERROR:
        return Broken(f'status {answer.status}', answered=True)
    return None


def judge_error(error: Exception) -> Outcome:
    """Return what an error of the HTTP client says about the attempt.

    Only a connection that was never made proves that nothing was written.
    """
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return NeverWritten(type(error).__name__)
        case _:
            return Broken(type(error).__name__)
