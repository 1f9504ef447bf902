"""One sender for each kind of request: plain, streamed, plain service."""

from typing import final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import metrics
from verbenahall.front._progress import Placed, Progress
from verbenahall.front._engines import EngineAdapter, OpenStream
from verbenahall.front._fleet import FleetView
from verbenahall.front._messages import Answered, ModelCall, ServiceCall
from verbenahall.front._relay import Relay
from verbenahall.front._services import ServiceAdapter
from verbenahall.requests import Broken, Outcome, StreamState


@final
class PlainSender:
    """Sends a model request that is answered in one piece."""

    __slots__ = ('_engines', '_call')

    def __init__(self, engines: EngineAdapter, call: ModelCall) -> None:
        """Keep the request and the protocol."""
        self._engines = engines
        self._call = call

    async def send(self, placed: Placed) -> Result[Answered, Outcome]:
        """Run one attempt to its whole answer."""
        return await self._engines.send(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
        )

    def cancel(self, placed: Placed) -> None:
        """Tell the engine to stop."""
        self._engines.cancel(placed.endpoint, placed.attempt)


@final
class ServiceSender:
    """Sends a request to a plain service."""

    __slots__ = ('_services', '_call')

    def __init__(self, services: ServiceAdapter, call: ServiceCall) -> None:
        """Keep the request and the protocol."""
        self._services = services
        self._call = call

    async def send(self, placed: Placed) -> Result[Answered, Outcome]:
        """Run one attempt to its whole answer."""
        return await self._services.send(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
        )

    def cancel(self, placed: Placed) -> None:
        """Do nothing: a plain service learns it by the closed connection."""


@final
class StreamSender:
    """Sends a streamed request, and its rest after a break."""

    __slots__ = ('_engines', '_progress', '_call', '_relay', '_fleet')

    def __init__(
        self,
        engines: EngineAdapter,
        progress: Progress,
        call: ModelCall,
        relay: Relay,
        fleet: FleetView,
    ) -> None:
        """Keep the request, its progress and the caller's side."""
        self._engines = engines
        self._progress = progress
        self._call = call
        self._relay = relay
        self._fleet = fleet

    async def send(self, placed: Placed) -> Result[web.StreamResponse, Outcome]:
        """Run one attempt from the token reached to the end mark."""
        version = self._fleet.version_of(placed.endpoint.name, self._call.model)
        opened = await self._engines.open_stream(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
            self._progress.delivered,
        )
        if isinstance(opened, Failure):
            return opened
        stream = opened.unwrap()
        if isinstance(stream, Answered):
            return Failure(Broken(f'status {stream.status}'))
        self._progress.version = version
        return await self._pump(placed, stream)

    def cancel(self, placed: Placed) -> None:
        """Tell the engine to stop."""
        self._engines.cancel(placed.endpoint, placed.attempt)

    async def _pump(
        self,
        placed: Placed,
        stream: OpenStream,
    ) -> Result[web.StreamResponse, Outcome]:
        state = StreamState(placed.attempt, self._progress.delivered)
        try:
            return await self._relay.pump(stream, state)
        finally:
            stream.close()
            self._note(state)

    def _note(self, state: StreamState) -> None:
        self._progress.delivered = state.index
        for _ in range(state.dropped):
            metrics.DROPPED_ANSWERS.add('event')
