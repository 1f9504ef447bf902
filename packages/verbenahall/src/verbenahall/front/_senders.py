"""Senders for plain and streamed model requests and for plain services."""

import functools
from collections.abc import Callable
from typing import final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import metrics
from verbenahall.front._engines import EngineAdapter, OpenStream
from verbenahall.front._fleet import FleetView
from verbenahall.front._messages import Answered, ModelCall, ServiceCall
from verbenahall.front._progress import PlacedAttempt, Progress
from verbenahall.front._relay import StreamRelay
from verbenahall.front._services import ServiceAdapter
from verbenahall.requests import Broken, Outcome, StreamState


@final
class PlainSender:
    """Sends a model request whose answer is not streamed."""

    __slots__ = ('_engines', '_call')

    def __init__(self, engines: EngineAdapter, call: ModelCall) -> None:
        """Store the request and the client that sends it."""
        self._engines = engines
        self._call = call

    async def send(self, placed: PlacedAttempt) -> Result[Answered, Outcome]:
        """Run one attempt and return the complete answer."""
        return await self._engines.send(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
        )

    def cancel(self, placed: PlacedAttempt) -> None:
        """Cancel the attempt at the engine."""
        self._engines.cancel(placed.endpoint, placed.attempt)


@final
class ServiceSender:
    """Sends a request to a plain service."""

    __slots__ = ('_services', '_call')

    def __init__(self, services: ServiceAdapter, call: ServiceCall) -> None:
        """Store the request and the client that sends it."""
        self._services = services
        self._call = call

    async def send(self, placed: PlacedAttempt) -> Result[Answered, Outcome]:
        """Run one attempt and return the complete answer."""
        return await self._services.send(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
        )

    def cancel(self, placed: PlacedAttempt) -> None:
        """Do nothing: a plain service notices the closed connection."""


@final
class StreamSender:
    """Sends a streamed request, and resumes it after a failed attempt."""

    __slots__ = ('_engines', '_progress', '_call', '_relay', '_fleet')

    def __init__(
        self,
        engines: EngineAdapter,
        progress: Progress,
        call: ModelCall,
        relay: StreamRelay,
        fleet: FleetView,
    ) -> None:
        """Store the request, its progress and the stream to the caller."""
        self._engines = engines
        self._progress = progress
        self._call = call
        self._relay = relay
        self._fleet = fleet

    async def send(
        self, placed: PlacedAttempt
    ) -> Result[web.StreamResponse, Outcome]:
        """Run one attempt from the next undelivered token to the end."""
        version = self._fleet.get_version(
            placed.endpoint.name, self._call.model
        )
        first = self._progress.delivered_tokens
        opened = await self._engines.open_stream(
            placed.endpoint,
            placed.attempt,
            self._call,
            placed.remaining_s,
            first,
        )
        if isinstance(opened, Failure):
            return opened
        stream = opened.unwrap()
        if isinstance(stream, Answered):
            return Failure(Broken(f'status {stream.status}'))
        state = StreamState(placed.attempt, first)
        claim = functools.partial(self._claim, state, version)
        return await self._forward(stream, state, claim)

    def cancel(self, placed: PlacedAttempt) -> None:
        """Cancel the attempt at the engine."""
        self._engines.cancel(placed.endpoint, placed.attempt)

    async def _forward(
        self,
        stream: OpenStream,
        state: StreamState,
        claim: Callable[[], None],
    ) -> Result[web.StreamResponse, Outcome]:
        try:
            return await self._relay.forward(stream, state, claim)
        finally:
            stream.close()
            for _ in range(state.dropped):
                metrics.DROPPED_ANSWERS.add('event')

    def _claim(self, state: StreamState, version: str) -> None:
        """Record the tokens that are about to be sent to the caller."""
        self._progress.claim(state.attempt)
        self._progress.version = version
        self._progress.delivered_tokens = state.index
