"""Whether this instance should take new callers."""

import asyncio
from typing import Final, final

from aiohttp import hdrs, web

from verbenahall import journal
from verbenahall.fleet import Role
from verbenahall.gateway._core import Core
from verbenahall.peers import find_heard, tell_whom

#: A service must have been without an endpoint for this long, in seconds,
#: until the instance gives its callers to others.
_MISSED_S: Final = 0.4
#: How often it is judged, in seconds; the balancer asks once a second.
_EVERY_S: Final = 0.1
#: Peers that were heard within this time can be reached, in seconds.
_HEARD_S: Final = 1.0


@final
class Readiness:
    """Ready while requests can be routed, and can be served somewhere.

    An instance that is cut off with too few endpoints on its side would
    refuse its callers for as long as the cut lasts. Not ready, it has the
    balancer send them to instances on the other side.
    """

    __slots__ = ('_core', '_missing_since', '_told')

    def __init__(self, core: Core) -> None:
        """Judge by the core's endpoints and the peers that are heard."""
        self._core = core
        self._missing_since: float | None = None
        self._told = True

    @property
    def ready(self) -> bool:
        """Whether new callers should come."""
        return self._core.ready and self._told

    async def run(self) -> None:
        """Judge until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(_EVERY_S)

    async def close_connection(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Have callers with open connections come back elsewhere, too."""
        if not self.ready:
            response.headers[hdrs.CONNECTION] = 'close'
            response.force_close()

    def check(self) -> bool:
        """Judge anew and return whether new callers should come."""
        ready = self._core.ready and not self._is_better_left()
        if ready != self._told:
            journal.write_decision('ready' if ready else 'not_ready')
        self._told = ready
        return ready

    def _is_better_left(self) -> bool:
        now = self._core.now()
        if self._can_serve(now):
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        book = self._core.book
        known = len(tell_whom(book))
        heard = len(find_heard(book, now, _HEARD_S))
        # When the endpoints are down for everybody, others are no better.
        is_alone = known > 1 and heard < known / 2
        return is_alone and now - self._missing_since >= _MISSED_S

    def _can_serve(self, now: float) -> bool:
        catalog = self._core.catalog.catalog
        return catalog is None or all(
            self._is_reachable(service, now) for service in catalog.services
        )

    def _is_reachable(self, service: str, now: float) -> bool:
        """Whether a service's requests can end somewhere.

        One that lists no endpoint at all is missed by every instance.
        """
        ends = [
            entry
            for entry in self._core.roster.live(service, now)
            if entry.role is not Role.PREFILL
        ]
        standings = self._core.standings
        return not ends or any(
            standings.reachable(entry.name, now) for entry in ends
        )
