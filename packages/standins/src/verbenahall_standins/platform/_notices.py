"""What an endpoint stand-in states about itself, and to which requests."""

import dataclasses
import time
from typing import Final, final

from aiohttp import web

_REQUEST_ID: Final = 'X-Verbenahall-Request-Id'
_STAMP: Final = 'X-Verbenahall-Server-Stamp'
_LEAVING: Final = 'Server-Leaving'
_RETRY_AFTER: Final = 'Retry-After'
_UNAVAILABLE: Final = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the endpoint, in monotonic seconds.

    ``start`` counts the endpoint's starts.
    """

    at: float
    request_id: str
    path: str
    start: int


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """An answer that stated something; ``at`` is in monotonic seconds.

    ``backoff_s`` is the requested backoff in seconds, 0 for none, and ``stamp``
    the signature of the answer, if it has one.
    """

    at: float
    request_id: str
    leaving: bool
    backoff_s: float
    start: int
    stamp: str


@final
class Notices:
    """Adds headers to an endpoint's answers, and keeps who received them.

    With ``leaving`` every answer states that the endpoint leaves. Each value
    of ``retry_after`` is a Retry-After header of refusals (503) with the
    meaning ``backoff_s``. ``arrivals`` holds all requests and control calls,
    ``sent`` the answers with such a header. ``start`` counts the endpoint's
    starts, since its next incarnation has other notices.
    """

    def __init__(self) -> None:
        """Start without headers."""
        self.leaving = False
        self.retry_after: tuple[str, ...] = ()
        self.backoff_s: float = 0
        self.start = 0
        self.arrivals: list[Arrival] = []
        self.sent: list[Notice] = []

    def request_backoff(self, seconds: float) -> None:
        """Request a backoff in refusals from now on, 0 for none."""
        self.backoff_s = seconds
        self.retry_after = (str(seconds),) if seconds else ()

    def restart(self) -> None:
        """Begin without headers, as the endpoint's next incarnation."""
        self.leaving = False
        self.request_backoff(0)
        self.start += 1

    def install(self, app: web.Application) -> None:
        """Observe the requests and answers of an application."""
        app.middlewares.append(self._record_arrival)
        app.on_response_prepare.append(self._add_headers)

    @web.middleware
    async def _record_arrival(
        self, request: web.Request, handler: object
    ) -> web.StreamResponse:
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                request.headers.get(_REQUEST_ID, ''),
                request.path,
                self.start,
            )
        )
        return await handler(request)

    async def _add_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        refused = response.status == _UNAVAILABLE
        if self.leaving:
            response.headers[_LEAVING] = '1'
        if refused:
            for text in self.retry_after:
                response.headers.add(_RETRY_AFTER, text)
        backoff_s = self.backoff_s if refused else 0
        if self.leaving or backoff_s:
            request_id = request.headers.get(_REQUEST_ID, '')
            self.sent.append(
                Notice(
                    time.monotonic(),
                    request_id,
                    self.leaving,
                    backoff_s,
                    self.start,
                    response.headers.get(_STAMP, ''),
                )
            )
