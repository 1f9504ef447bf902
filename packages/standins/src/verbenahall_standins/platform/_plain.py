"""A plain service of the platform."""

import asyncio
import time
from typing import Final, final

from aiohttp import web

from verbenahall_standins.platform._exchanges import (
    EXCHANGE,
    ExchangeEnd,
    Exchanges,
)
from verbenahall_standins.platform._notices import Notices
from verbenahall_standins.platform._serving import (
    echo_request_ids,
    listen,
)

_PREFIX: Final = 'X-Verbenahall-'


@final
class PlainStandIn:
    """One plain endpoint; ``runs`` holds the requests that it ran.

    A run is a request's headers, ``body`` and ``target``. ``status`` is the
    status of its answers and ``delay_s`` the seconds that an answer takes.
    ``refuses`` answers that the request has not run, ``unresponsive`` accepts
    requests and never answers, ``stamps_answers`` adds the stamp to answers.
    ``rate`` is the rate limit that answers advertise, in requests a second.
    ``arrivals`` are the times of all requests in monotonic seconds, and
    ``notices`` the headers about the endpoint itself, ``exchanges`` how its
    requests ended, and pauses.
    """

    def __init__(self, name: str) -> None:
        """Prepare an endpoint without faults."""
        self.name = name
        self.notices = Notices()
        self.exchanges = Exchanges(
            lambda _: not (self.refuses or self.unresponsive)
        )
        self.role = ''
        self.status = 200
        self.refuses = False
        self.unresponsive = False
        self.delay_s: float = 0
        self.stamps_answers = True
        self.rate: str | None = None
        self.arrivals: list[float] = []
        self.address = ''
        self.runs: list[dict[str, str]] = []
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        self.notices.install(app)
        echo_request_ids(app)
        self.exchanges.install(app)
        app.router.add_route('*', '/{path:.*}', self._serve)
        running = await listen(app)
        self._runner = running.runner
        self.address = running.address

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.Response:
        self.arrivals.append(time.monotonic())
        body = await request.read()
        expected = request.headers.get(f'{_PREFIX}Expect-Instance', self.name)
        if expected != self.name:
            return web.Response(status=421)
        rate_header = {} if self.rate is None else {'Server-Limit': self.rate}
        if self.refuses:
            headers = {f'{_PREFIX}Not-Run': '1', **rate_header}
            return web.Response(status=503, headers=headers)
        headers = dict(request.headers)
        self.runs.append(
            {**headers, 'body': body.decode(), 'target': request.raw_path},
        )
        if self.unresponsive:
            request[EXCHANGE].finish(ExchangeEnd.BROKEN)
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        answer = {
            f'{_PREFIX}Request-Id': headers[f'{_PREFIX}Request-Id'],
            **rate_header,
        }
        if self.stamps_answers:
            answer[f'{_PREFIX}Server-Stamp'] = f'stand-in-{self.name}'
        return web.Response(
            status=self.status,
            body=f'page from {self.name}'.encode(),
            headers=answer,
        )
