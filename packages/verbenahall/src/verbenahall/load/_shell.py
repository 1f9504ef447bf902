"""Polls engines for their state."""

import asyncio
import heapq
import math
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
#: An answer takes about half a kilobyte; at two periods a second this is a
#: third of the 6 kB/s that an instance may spend on control.
_ASKED_AT_ONCE: Final = 2
#: Engines that were never asked are many at the start, when the instance is
#: not ready before it knows them.
_ASKED_AT_START: Final = 16
#: An engine that is only spilled over to is asked so much later, in seconds.
_FAR_DELAY_S: Final = 8.0


def _never(name: str) -> bool:
    """Hold no engine for urgent, or for far."""
    return False


@final
class StatePoller:
    """Asks engines of ``endpoints()`` for ``/state``, a few each period.

    Those that ``urgent(name)`` holds for go first, then those not asked for
    the longest time, ``far(name)`` ones later; so the bytes that an instance
    spends do not grow with the fleet, and load is mostly known from reports
    on answers.
    ``heard(name)`` and ``missed(name)`` feed the membership with the poll's
    outcome, ``told(state)`` with the engine's own word on its life and on
    whether it leaves.
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
        told: Callable[[EngineState], None],
        urgent: Callable[[str], bool] = _never,
        far: Callable[[str], bool] = _never,
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
        self._told = told
        self._urgent = urgent
        self._far = far
        self._asked_at: dict[str, float] = {}
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._period_s)

    async def poll(self) -> None:
        """Ask the engines that are due; returns when all have answered."""
        due = self._choose(self._endpoints())
        now = self._clock()
        self._asked_at.update((endpoint.name, now) for endpoint in due)
        await asyncio.gather(*(self._ask(endpoint) for endpoint in due))

    def _choose(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        known = {endpoint.name: endpoint for endpoint in endpoints}
        self._asked_at = {
            name: self._asked_at.get(name, -math.inf) for name in known
        }
        never_asked = list(self._asked_at.values()).count(-math.inf)
        count = max(_ASKED_AT_ONCE, min(never_asked, _ASKED_AT_START))
        return heapq.nsmallest(
            count,
            known.values(),
            key=lambda endpoint: self._rank(endpoint.name),
        )

    def _rank(self, name: str) -> tuple[bool, float]:
        delay = _FAR_DELAY_S if self._far(name) else 0
        return not self._urgent(name), self._asked_at[name] + delay

    async def _ask(self, endpoint: Endpoint) -> None:
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
        self._told(found)
        self._heard(endpoint.name)
        self._states.put(found)
        observe_report(self._load, found.name, found.report, self._clock())
