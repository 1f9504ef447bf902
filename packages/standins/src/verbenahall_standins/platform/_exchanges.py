"""How an endpoint's work on each request ended, and its pauses."""

import asyncio
import contextlib
import dataclasses
import enum
import math
import time
from collections.abc import Callable, Iterator
from typing import Final, final

from aiohttp import web

_PREFIX: Final = 'X-Verbenahall-'
#: Time in which an answer may still be on its way, in seconds.
_TRANSIT_S: Final = 0.3
_REFUSALS: Final = frozenset((421, 503))


@final
class ExchangeEnd(enum.Enum):
    """How an endpoint's work on a request ended."""

    OPEN = 'open'
    ANSWERED = 'answered'
    #: Answered that the request has not run.
    REFUSED = 'refused'
    #: The endpoint broke it off, would have, or would never have answered.
    BROKEN = 'broken'
    #: The other side closed the connection.
    LEFT = 'left'


#: Ends of exchanges whose answer a crash may still break off.
_UNDELIVERED: Final = frozenset((ExchangeEnd.OPEN, ExchangeEnd.ANSWERED))


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request at an endpoint; times are in monotonic seconds.

    ``stage`` is ``prefill`` for a prefill. ``output_at`` holds the times of the
    events of a stream, and of a whole answer that is no refusal.
    """

    request_id: str
    stage: str
    started_at: float
    ended_at: float = math.inf
    output_at: list[float] = dataclasses.field(default_factory=list)
    end: ExchangeEnd = ExchangeEnd.OPEN

    def record_event(self) -> None:
        """Record that an event is sent."""
        self.output_at.append(time.monotonic())

    def finish(self, end: ExchangeEnd) -> None:
        """Record how it ended; the first end counts."""
        if self.end is not ExchangeEnd.OPEN:
            return
        self.end = end
        self.ended_at = time.monotonic()
        if end is ExchangeEnd.ANSWERED:
            self.output_at.append(self.ended_at)


#: Key of a request's exchange in the application's request.
EXCHANGE: Final = web.RequestKey('exchange', Exchange)


@dataclasses.dataclass(slots=True)
class Pause:
    """A time in which an endpoint sends nothing, in monotonic seconds."""

    started_at: float
    ended_at: float = math.inf


def _is_sound(exchange: Exchange) -> bool:
    return True


@final
class Exchanges:
    """Records an endpoint's requests, and holds its answers in pauses.

    A pause holds everything that the endpoint would send, and nothing is lost:
    answers and streams go on after it. ``is_sound`` is whether the endpoint
    would go on with a request at this moment. ``records`` holds the requests
    with an id, ``pauses`` all pauses. An example::

        await engine.exchanges.pause(1.5)
    """

    def __init__(
        self, is_sound: Callable[[Exchange], bool] = _is_sound
    ) -> None:
        """Start without requests and pauses."""
        self.records: list[Exchange] = []
        self.pauses: list[Pause] = []
        self._is_sound = is_sound
        self._pause_count = 0
        self._resumed = asyncio.Event()
        self._resumed.set()

    def install(self, app: web.Application) -> None:
        """Observe and hold the requests and answers of an application."""
        app.middlewares.append(self._handle)

    async def pause(self, for_s: float) -> None:
        """Hold all answers for some seconds; pauses may overlap."""
        pause = Pause(time.monotonic())
        self.pauses.append(pause)
        self._pause_count += 1
        self._resumed.clear()
        await asyncio.sleep(for_s)
        pause.ended_at = time.monotonic()
        self._pause_count -= 1
        if not self._pause_count:
            self._resumed.set()

    async def wait(self) -> None:
        """Wait while the endpoint is paused."""
        await self._resumed.wait()

    def break_open(self) -> None:
        """Record that the endpoint broke off all open requests.

        Answers count that were not delivered yet.
        """
        sent_after = time.monotonic() - _TRANSIT_S
        for exchange in self.records:
            is_delivered = exchange.ended_at <= sent_after
            if not is_delivered and exchange.end in _UNDELIVERED:
                exchange.end = ExchangeEnd.BROKEN
                exchange.ended_at = time.monotonic()

    @contextlib.contextmanager
    def _watch(self, exchange: Exchange) -> Iterator[None]:
        try:
            yield
        except (asyncio.CancelledError, ConnectionResetError):
            sound = self._is_sound(exchange)
            exchange.finish(ExchangeEnd.LEFT if sound else ExchangeEnd.BROKEN)
            raise

    @web.middleware
    async def _handle(
        self, request: web.Request, handler: Callable[..., object]
    ) -> web.StreamResponse:
        exchange = Exchange(
            request.headers.get(f'{_PREFIX}Request-Id', ''),
            request.headers.get(f'{_PREFIX}Stage', ''),
            time.monotonic(),
        )
        request[EXCHANGE] = exchange
        if exchange.request_id:
            self.records.append(exchange)
        with self._watch(exchange):
            await self.wait()
            response = await handler(request)
            await self.wait()
        is_refused = response.status in _REFUSALS
        exchange.finish(
            ExchangeEnd.REFUSED if is_refused else ExchangeEnd.ANSWERED
        )
        return response
