"""Polls the engines of the own data centre for their state."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, final

import aiohttp
from absl import logging
from returns.result import Success

from verbenahall import wire
from verbenahall.clock import Clock, monotonic
from verbenahall.fleet import Endpoint
from verbenahall.load._decisions import observe_report
from verbenahall.load._engines import (
    EngineState,
    EngineStates,
    read_engine_state,
)
from verbenahall.load._state import LoadState

#: How long one engine may take to say its state.
_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)
_MOST_AT_ONCE: Final = 16


@final
class StatePoller:
    """Asks each engine of ``endpoints()`` for ``/state`` once a period.

    ``heard(name)`` and ``missed(name)`` feed the membership with the poll's
    outcome, ``leaving(name)`` with the engine's own word that it leaves.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: Callable[[], Iterable[Endpoint]],
        states: EngineStates,
        load: LoadState,
        period_s: float,
        heard: Callable[[str], None],
        missed: Callable[[str], None],
        leaving: Callable[[str], None],
        clock: Clock = monotonic,
    ) -> None:
        """Keep what the polls read and feed."""
        self._session = session
        self._endpoints = endpoints
        self._states = states
        self._load = load
        self._period_s = period_s
        self._heard = heard
        self._missed = missed
        self._leaving = leaving
        self._clock = clock
        self._gate = asyncio.Semaphore(_MOST_AT_ONCE)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._period_s)

    async def poll(self) -> None:
        """Ask every engine once; returns when all answered or timed out."""
        polls = [self._ask(endpoint) for endpoint in self._endpoints()]
        await asyncio.gather(*polls)

    async def _ask(self, endpoint: Endpoint) -> None:
        async with self._gate:
            try:
                body = await self._fetch(endpoint)
            except (aiohttp.ClientError, OSError, TimeoutError):
                self._missed(endpoint.name)
                return
        match wire.decode_table(body).bind(read_engine_state):
            case Success(found):
                self._take(endpoint, found)
            case problem:
                logging.warning('%s: %s', endpoint.name, problem)
                self._missed(endpoint.name)

    async def _fetch(self, endpoint: Endpoint) -> bytes:
        url = f'http://{endpoint.address}/state'
        async with self._session.get(url, timeout=_TIMEOUT) as answer:
            return await answer.read()

    def _take(self, endpoint: Endpoint, found: EngineState) -> None:
        # An address is given to another process while the list still shows
        # the old name: requests would go to the wrong engine. What the
        # stranger says is not taken for the endpoint's word.
        if found.name != endpoint.name:
            self._missed(endpoint.name)
            return
        self._heard(endpoint.name)
        self._states.put(found)
        observe_report(self._load, found.name, found.report, self._clock())
        if found.leaving:
            self._leaving(found.name)
