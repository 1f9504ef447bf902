"""Decides on requests that peers forward."""

import asyncio
import contextlib
from collections.abc import Iterator
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
from verbenahall.front._answers import REQUEST_ID_HEADER, build_error_response
from verbenahall.front._attempts import AttemptRunner
from verbenahall.front._dependencies import FrontDependencies, PeerAccess
from verbenahall.front._fleet import FleetView, Requirement, is_lost

#: Longest wait for settings as new as those of the author, in seconds.
_SETTINGS_WAIT_S: Final = 0.3
_POLL_S: Final = 0.02


@final
class HopReceiver:
    """Refuses forwarded requests that this instance should not serve."""

    __slots__ = ('_attempts', '_dependencies', '_fleet', '_open', '_peers')

    def __init__(
        self,
        dependencies: FrontDependencies,
        peers: PeerAccess,
        fleet: FleetView,
        attempts: AttemptRunner,
        open_forwards: OpenForwards,
    ) -> None:
        """Store the states that decide."""
        self._attempts = attempts
        self._dependencies = dependencies
        self._fleet = fleet
        self._open = open_forwards
        self._peers = peers

    @contextlib.contextmanager
    def count_open(self) -> Iterator[None]:
        """Count a forwarded request as open within the context."""
        self._open.received += 1
        try:
            yield
        finally:
            self._open.received -= 1

    async def read_hop(self, request: web.Request) -> Hop | HopRefusal:
        """Return what a peer states about a request, or why it is refused.

        The author must be a listed instance, and the request must come from
        its address.
        """
        match read_hop(request.headers):
            case Some(hop) if self._peers.is_author(hop.author, request.remote):
                await self._wait_for_settings(hop)
                return hop
            case Some(_):
                return HopRefusal.UNKNOWN_AUTHOR
            case _:
                return HopRefusal.INVALID

    def find_refusal(
        self, hop: Hop, requirement: Requirement
    ) -> HopRefusal | None:
        """Return why a forwarded request is refused, None if it is served."""
        receiver = ReceiverState(
            is_known_author=True,
            is_stopping=self._dependencies.check_ready() is not None,
            is_lost=is_lost(self._fleet, requirement),
            version=self._dependencies.read_position(),
            open_requests=self._open.received,
        )
        refusal = find_refusal(hop, receiver)
        if refusal is None and not hop.is_charged:
            is_allowed = self._attempts.charge_retry()
            refusal = None if is_allowed else HopRefusal.NO_BUDGET
        return refusal

    async def _wait_for_settings(self, hop: Hop) -> None:
        clock = self._dependencies.clock
        end = clock() + _SETTINGS_WAIT_S
        while (
            clock() < end and self._dependencies.read_position() < hop.version
        ):
            await asyncio.sleep(_POLL_S)


def refuse_hop(request: web.Request, refusal: HopRefusal) -> web.Response:
    """Refuse a request that was not run, so that another peer gets it."""
    identity = request.headers.get(REQUEST_ID_HEADER, '')
    record_hop_refused(identity, request.remote, refusal)
    problem = Problem(ErrorKind.NO_ENDPOINT, refusal.value, Ran.NO)
    response = build_error_response(problem, identity)
    response.headers[REFUSED_HEADER] = refusal.value
    return response
