"""Queries of a started instance for the crash log of a peer.

They use a connection, as a datagram may be lost: an instance relies on an
answer that lists no crash.
"""

import asyncio
import functools
from http import HTTPStatus
from typing import Final, final

from aiohttp import web
from aiohttp.typedefs import Handler
from returns.maybe import Maybe, Nothing

from verbenahall import quarantine
from verbenahall.forwarding import HOP_HEADER
from verbenahall.gateway._core import Core
from verbenahall.peers import list_live_peers
from verbenahall.platform import CALL_FAILURES, read_body

_PATH: Final = '/peer/crashes'
#: Timeout of a question, in seconds.
_TIMEOUT_S: Final = 0.5
#: A peer with a heartbeat within this time is preferred, in seconds.
_LIVE_S: Final = 1.5
#: Longest answer, in bytes.
_MAX_BYTES: Final = 1_048_576


@final
class CrashQueries:
    """Asks a peer for its crash log."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Ask through the HTTP session of the core."""
        self._core = core

    async def ask(self) -> Maybe[tuple[quarantine.CrashReport, str]]:
        """Return the report of a random peer and its name, if it answers."""
        core = self._core
        known = core.peer_table.peers
        live = list_live_peers(core.peer_table, core.now(), _LIVE_S)
        if not known:
            return Nothing
        peer = core.random.choice(live or list(known))
        try:
            body = await self._fetch(known[peer].address)
        except CALL_FAILURES:
            return Nothing
        return quarantine.decode(body).map(lambda report: (report, peer))

    async def _fetch(self, address: str) -> bytes:
        """Return the body of a peer's answer, empty if it refuses."""
        url = f'http://{address}{_PATH}'
        async with asyncio.timeout(_TIMEOUT_S):
            async with self._core.session.request('GET', url) as response:
                body = await read_body(response, _MAX_BYTES)
                return body if response.status == HTTPStatus.OK else b''


def add_crash_route(app: web.Application, core: Core, forward: Handler) -> None:
    """Serve the crash log to peers; ``forward`` gets requests with a hop.

    A caller's request for the same path is forwarded with one.
    """
    app.router.add_get(_PATH, functools.partial(_handle, core, forward))


async def _handle(
    core: Core, forward: Handler, request: web.Request
) -> web.StreamResponse:
    if HOP_HEADER in request.headers:
        return await forward(request)
    peers = core.peer_table.peers.values()
    if request.remote not in {one.address.partition(':')[0] for one in peers}:
        return web.Response(status=HTTPStatus.FORBIDDEN)
    log = core.crash_log
    if not log.is_complete:
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
    report = quarantine.make_record(
        log,
        quarantine.NO_PAIRS,
        quarantine.list_needed(log, core.now(), with_recent=True),
        core.now(),
    )
    return web.Response(body=quarantine.encode(report))
