"""Probes endpoints to find out whether they answer again."""

import asyncio
import random
from typing import Any, Final, final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership._decisions import (
    observe_answer,
    observe_failure,
    observe_state,
    take_due_probes,
)
from verbenahall.membership._state import MembershipState

_TIMEOUT_S: Final = 1.0
_TIMEOUT: Final = aiohttp.ClientTimeout(total=_TIMEOUT_S)
_CHECK_INTERVAL_S: Final = 0.1
#: The asterisk form addresses the server and no path of the service, so that
#: a probe never counts as a run. aiohttp's client can't send it.
_PING: Final = (
    'OPTIONS * HTTP/1.1\r\nHost: {0}\r\n'
    'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_HTTP_PREFIX: Final = b'HTTP/1.'

_ProbeResult = Result[dict[str, Any], Problem]


@final
class Prober:
    """Sends the probes that ``take_due_probes`` schedules.

    The ``/state`` of an engine may cancel its announcement that it leaves;
    other endpoints only have to answer.
    """

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
            due = take_due_probes(self._state, self._now(), self._rng)
            await asyncio.gather(*(self.probe(one) for one in due))
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def probe(self, endpoint: Endpoint) -> None:
        """Probe one endpoint and record the result."""
        match await self._query(endpoint):
            case Success(table):
                self._apply_state(endpoint, table)
            case _:
                observe_failure(self._state, endpoint.name, self._now())

    async def _query(self, endpoint: Endpoint) -> _ProbeResult:
        query = self._fetch_state
        if endpoint.kind is not EndpointKind.ENGINE:
            query = _ping
        try:
            return await query(endpoint)
        except (aiohttp.ClientError, OSError, EOFError) as error:
            return _fail(repr(error))

    async def _fetch_state(self, endpoint: Endpoint) -> _ProbeResult:
        async with self._session.get(
            f'http://{endpoint.address}/state',
            timeout=_TIMEOUT,
        ) as answer:
            found = wire.decode_table(await answer.read())
        table = found.value_or({})
        # Another process may use the address now. Its answer shows nothing
        # about the probed endpoint.
        if table.get('name') != endpoint.name:
            return _fail('another endpoint answers')
        return found

    def _apply_state(self, endpoint: Endpoint, table: dict[str, Any]) -> None:
        now = self._now()
        incarnation = table.get('incarnation')
        if incarnation is not None:
            observe_state(
                self._state,
                endpoint.name,
                str(incarnation),
                leaving=bool(table.get('leaving')),
                now=now,
            )
        observe_answer(self._state, endpoint.name, now)


async def _ping(endpoint: Endpoint) -> _ProbeResult:
    """Check that an HTTP server answers, with any status."""
    host, _, port = endpoint.address.rpartition(':')
    ping = _PING.format(endpoint.address).encode()
    async with asyncio.timeout(_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(ping)
        try:
            start = await reader.readexactly(len(_HTTP_PREFIX))
        finally:
            writer.close()
    return Success({}) if start == _HTTP_PREFIX else _fail('not HTTP')


def _fail(message: str) -> _ProbeResult:
    return Failure(Problem(ErrorKind.ENDPOINT_FAILED, message))
