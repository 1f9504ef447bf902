"""Receives requests that peers forward."""

import asyncio
from typing import Final, final

from aiohttp import web
from returns.maybe import Some

from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.forwarding import (
    REFUSED_HEADER,
    Hop,
    HopRefusal,
    OpenForwards,
    ReceiverState,
    find_refusal,
    read_hop,
    record_hop_refused,
)
from verbenahall.gateway._answers import build_problem_response
from verbenahall.gateway._core import Core
from verbenahall.gateway._ingress import Ingress
from verbenahall.platform import REQUEST_ID
from verbenahall.shutdown import GracefulStop

#: Longest wait for a manifest as new as that of the author, in seconds.
_MANIFEST_WAIT_S: Final = 0.3
_POLL_S: Final = 0.02


@final
class HopServer:
    """Serves forwarded requests as this instance's own, or refuses them."""

    __slots__ = ('_core', '_ingress', '_open', '_stop')

    def __init__(
        self,
        core: Core,
        stop: GracefulStop,
        ingress: Ingress,
        open_forwards: OpenForwards,
    ) -> None:
        """Serve requests through ``ingress`` until ``stop`` ends."""
        self._core = core
        self._ingress = ingress
        self._open = open_forwards
        self._stop = stop

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one forwarded request."""
        match read_hop(request.headers):
            case Some(hop):
                await self._wait_for_manifest(hop)
                refusal = find_refusal(hop, self._make_state(request, hop))
            case _:
                return self._refuse(request, HopRefusal.INVALID)
        if refusal is None and not self._may_retry(hop):
            refusal = HopRefusal.NO_BUDGET
        if refusal is not None:
            return self._refuse(request, refusal)
        self._open.received += 1
        try:
            return await self._ingress.handle(request, hop)
        finally:
            self._open.received -= 1

    async def _wait_for_manifest(self, hop: Hop) -> None:
        end = self._core.now() + _MANIFEST_WAIT_S
        while self._core.now() < end and self._find_version() < hop.version:
            await asyncio.sleep(_POLL_S)

    def _may_retry(self, hop: Hop) -> bool:
        """Charge the retry budget for a retry that is not charged yet."""
        if hop.is_charged:
            return True
        return self._core.get_retry_budget(hop.service).try_spend()

    def _find_version(self) -> int:
        catalog = self._core.catalog.catalog
        return 0 if catalog is None else catalog.version

    def _make_state(self, request: web.Request, hop: Hop) -> ReceiverState:
        peers = self._core.peer_table.peers
        author = peers.get(hop.author)
        host = author.address.rpartition(':')[0] if author else None
        return ReceiverState(
            is_known_author=host is not None and request.remote == host,
            is_stopping=self._stop.finishing,
            is_lost=self._core.reach.is_lost(hop.service),
            version=self._find_version(),
            open_requests=self._open.received,
        )

    def _refuse(
        self, request: web.Request, refusal: HopRefusal
    ) -> web.Response:
        """Refuse a request that was not run, so that another peer gets it."""
        identity = request.headers.get(REQUEST_ID, '')
        record_hop_refused(identity, request.remote, refusal)
        problem = Problem(ErrorKind.NO_ENDPOINT, refusal.value, Ran.NO)
        response = build_problem_response(problem, identity)
        response.headers[REFUSED_HEADER] = refusal.value
        return response
