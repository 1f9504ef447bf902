"""Polls the engines for their state."""

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
from verbenahall.load._decisions import record_report
from verbenahall.load._engines import (
    EngineState,
    EngineStates,
    read_engine_state,
)
from verbenahall.load._state import LoadState

#: Timeout of one poll.
_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)
#: Engines polled per period. An answer has about 0.5 kB, so with two periods
#: per second this is a third of the 6 kB/s that an instance may use for control
#: traffic.
_POLLS_PER_PERIOD: Final = 2
#: Maximum number of engines polled per period while there are engines that were
#: never polled. At the start these are many, and the instance is not ready
#: before it has their states.
_MAX_POLLS_AT_START: Final = 16
#: Added to the time of the last poll of remote engines, in seconds. They get
#: requests only if no local engine can take them.
_REMOTE_DELAY_S: Final = 8.0


def _always_false(name: str) -> bool:
    """Treat no engine as urgent or remote."""
    return False


@final
class StatePoller:
    """Polls ``/state`` of a few engines of ``endpoints()`` per period.

    Engines with ``is_urgent(name)`` are polled first, then those whose last
    poll is the longest ago; engines with ``is_remote(name)`` are polled less
    often. So the traffic of an instance does not grow with the fleet. Most
    load reports come with the answers to requests.

    ``on_success(name)`` and ``on_failure(name)`` are called after a successful
    or a failed poll. ``on_state(state)`` is called with each state; the
    membership reads the engine's incarnation and whether it is leaving from
    it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: Callable[[], Iterable[Endpoint]],
        states: EngineStates,
        load: LoadState,
        period_s: float,
        on_success: Callable[[str], None],
        on_failure: Callable[[str], None],
        on_state: Callable[[EngineState], None],
        is_urgent: Callable[[str], bool] = _always_false,
        is_remote: Callable[[str], bool] = _always_false,
        clock: Clock = monotonic,
    ) -> None:
        """Create a poller; ``run`` starts it."""
        self._session = session
        self._endpoints = endpoints
        self._states = states
        self._load = load
        self._period_s = period_s
        self._on_success = on_success
        self._on_failure = on_failure
        self._on_state = on_state
        self._is_urgent = is_urgent
        self._is_remote = is_remote
        self._polled_at: dict[str, float] = {}
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._period_s)

    async def poll(self) -> None:
        """Poll the engines that are due, and wait for all their answers."""
        due = self._select_due(self._endpoints())
        now = self._clock()
        self._polled_at.update((endpoint.name, now) for endpoint in due)
        await asyncio.gather(*(self._poll_engine(endpoint) for endpoint in due))

    def _select_due(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        by_name = {endpoint.name: endpoint for endpoint in endpoints}
        self._polled_at = {
            name: self._polled_at.get(name, -math.inf) for name in by_name
        }
        never_polled = list(self._polled_at.values()).count(-math.inf)
        count = max(_POLLS_PER_PERIOD, min(never_polled, _MAX_POLLS_AT_START))
        return heapq.nsmallest(
            count,
            by_name.values(),
            key=lambda endpoint: self._sort_key(endpoint.name),
        )

    def _sort_key(self, name: str) -> tuple[bool, float]:
        delay = _REMOTE_DELAY_S if self._is_remote(name) else 0
        return not self._is_urgent(name), self._polled_at[name] + delay

    async def _poll_engine(self, endpoint: Endpoint) -> None:
        try:
            body = await self._fetch(endpoint)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self._on_failure(endpoint.name)
            return
        match wire.decode_table(body).bind(read_engine_state):
            case Success(state):
                self._handle_state(endpoint, state)
            case problem:
                logging.warning('%s: %s', endpoint.name, problem)
                self._on_failure(endpoint.name)

    async def _fetch(self, endpoint: Endpoint) -> bytes:
        url = f'http://{endpoint.address}/state'
        async with self._session.get(url, timeout=_TIMEOUT) as response:
            return await response.read()

    def _handle_state(self, endpoint: Endpoint, state: EngineState) -> None:
        # The address may have been reassigned to another process while the
        # list still has the old name. The state of that process is not used,
        # or requests would be sent to the wrong engine.
        if state.name != endpoint.name:
            self._on_failure(endpoint.name)
            return
        self._on_state(state)
        self._on_success(endpoint.name)
        self._states.put(state)
        record_report(self._load, state.name, state.report, self._clock())
