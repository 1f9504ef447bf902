"""Shells of membership: the list's poller and the prober."""

import asyncio
import random
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, final

import aiohttp
from absl import logging
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership._codec import decode_entries
from verbenahall.membership._decisions import (
    due_probes,
    observe_answer,
    observe_failure,
    observe_word,
)
from verbenahall.membership._listing import apply_list
from verbenahall.membership._state import MembershipState

_POLL_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_PROBE_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)
_PROBE_TICK_S: Final = 0.1
#: A list that goes on showing a lower version has been restarted.
_LOWER_VERSION_POLLS: Final = 5

_PROBE_PATHS: Final[Mapping[EndpointKind, str]] = MappingProxyType(
    {
        EndpointKind.ENGINE: '/state',
        EndpointKind.SERVICE: '/state',
        EndpointKind.INSTANCE: '/healthz',
    },
)


@final
class ListPoller:
    """Reads the platform's list into a membership state.

    A poll that fails changes nothing: the last known list stays and own
    experience decides, so an outage of the list takes no endpoint away.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        state: MembershipState,
        period_s: float,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Poll ``address`` (``IP:port``) each ``period_s``."""
        self._url = f'http://{address}/list'
        self._session = session
        self._state = state
        self._period_s = period_s
        self._now = now
        self._version = 0
        self._lower_polls = 0
        self.failed_polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._period_s)

    async def poll(self) -> None:
        """Poll once."""
        match (await self._fetch()).bind(wire.decode_table):
            case Success(table):
                self._take(table)
            case Failure(problem):
                self._note_failure(problem)

    async def _fetch(self) -> Result[bytes, Problem]:
        try:
            async with self._session.get(
                self._url,
                timeout=_POLL_TIMEOUT,
            ) as answer:
                answer.raise_for_status()
                return Success(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(Problem(ErrorKind.ENDPOINT_FAILED, repr(error)))

    def _take(self, table: dict[str, Any]) -> None:
        if self._is_stale(int(table.get('version') or 0)):
            return
        match decode_entries(table.get('entries') or ()):
            case Success(entries):
                self.failed_polls = 0
                apply_list(self._state, entries, self._now())
            case Failure(problem):
                self._note_failure(problem)

    def _is_stale(self, version: int) -> bool:
        """Tell an older copy of the list from a list that began anew.

        Behind one address may stand copies that lag differently. Following
        the older one would bring back endpoints that have left, at every
        other poll.
        """
        if version < self._version and self._lower_polls < _LOWER_VERSION_POLLS:
            self._lower_polls += 1
            return True
        self._version = version
        self._lower_polls = 0
        return False

    def _note_failure(self, problem: Problem) -> None:
        self.failed_polls += 1
        if self.failed_polls == 1:
            logging.warning('instance list unreadable: %s', problem.message)


@final
class Prober:
    """Asks silent and doubted endpoints whether they are back."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        state: MembershipState,
        rng: random.Random,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Probe members of ``state``; ``rng`` spreads the probes."""
        self._session = session
        self._state = state
        self._rng = rng
        self._now = now

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            due = due_probes(self._state, self._now(), self._rng)
            await asyncio.gather(*(self._probe(one) for one in due))
            await asyncio.sleep(_PROBE_TICK_S)

    async def _probe(self, endpoint: Endpoint) -> None:
        path = _PROBE_PATHS[endpoint.kind]
        try:
            async with self._session.get(
                f'http://{endpoint.address}{path}',
                timeout=_PROBE_TIMEOUT,
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            observe_failure(self._state, endpoint.name, self._now())
            return
        self._take(endpoint, body)

    def _take(self, endpoint: Endpoint, body: bytes) -> None:
        """Note the answer and, where the body tells them, its own words."""
        now = self._now()
        table = wire.decode_table(body).value_or({})
        incarnation = table.get('incarnation')
        if incarnation is not None:
            observe_word(
                self._state,
                endpoint.name,
                str(incarnation),
                leaving=bool(table.get('leaving')),
                now=now,
            )
        observe_answer(self._state, endpoint.name, now)
