"""Decides whether this instance should receive new callers."""

import asyncio
from typing import Final, final

from aiohttp import web

from verbenahall import journal
from verbenahall.fleet import Role
from verbenahall.front import close_after_response
from verbenahall.gateway._core import Core
from verbenahall.peers import list_live_peers, list_recipients

#: How long a service must have had no reachable endpoint before the instance
#: reports that it is not ready, in seconds.
_UNREACHABLE_S: Final = 0.4
#: Interval between checks, in seconds; the load balancer polls once a second.
_CHECK_INTERVAL_S: Final = 0.1
#: A peer counts as reachable for this long after its last heartbeat, in
#: seconds.
_PEER_TIMEOUT_S: Final = 1.0


@final
class Readiness:
    """Readiness: requests can be routed and every service can be reached.

    An instance on the smaller side of a network partition may have too few
    endpoints and would refuse its callers until the partition heals. If it
    reports that it is not ready, the load balancer sends the callers to
    instances on the other side.
    """

    __slots__ = ('_accepts_callers', '_core', '_unreachable_since')

    def __init__(self, core: Core) -> None:
        """Use the core's endpoints and the heartbeats of its peers."""
        self._core = core
        self._unreachable_since: float | None = None
        self._accepts_callers = True

    @property
    def ready(self) -> bool:
        """Whether this instance should receive new callers."""
        return self._core.ready and self._accepts_callers

    async def run(self) -> None:
        """Check at regular intervals until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def close_connection(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Close callers' open connections, so that they reconnect elsewhere."""
        if not self.ready:
            close_after_response(request, response)

    def check(self) -> bool:
        """Update the state; return whether new callers should be received."""
        ready = self._core.ready and not self._is_cut_off()
        if ready != self._accepts_callers:
            journal.write_decision('ready' if ready else 'not_ready')
        self._accepts_callers = ready
        return ready

    def _is_cut_off(self) -> bool:
        """Whether a service and most peers are unreachable from here."""
        now = self._core.now()
        if self._can_serve(now):
            self._unreachable_since = None
            return False
        if self._unreachable_since is None:
            self._unreachable_since = now
        peer_table = self._core.peer_table
        peer_count = len(list_recipients(peer_table))
        live_count = len(list_live_peers(peer_table, now, _PEER_TIMEOUT_S))
        # If most peers are reachable, the endpoints are probably down for them
        # as well, and they could not serve the callers either.
        is_minority = peer_count > 1 and live_count < peer_count / 2
        return is_minority and now - self._unreachable_since >= _UNREACHABLE_S

    def _can_serve(self, now: float) -> bool:
        catalog = self._core.catalog.catalog
        return catalog is None or all(
            self._is_reachable(service, now) for service in catalog.services
        )

    def _is_reachable(self, service: str, now: float) -> bool:
        """Whether a service has a reachable endpoint that sends responses.

        A service without any listed endpoint counts as reachable: no other
        instance could serve it either.
        """
        if self._core.reach.is_lost(service):
            return False
        final_endpoints = [
            entry
            for entry in self._core.roster.list_live(service, now)
            if entry.role is not Role.PREFILL
        ]
        endpoint_health = self._core.endpoint_health
        return not final_endpoints or any(
            endpoint_health.is_reachable(entry.name, now)
            for entry in final_endpoints
        )
