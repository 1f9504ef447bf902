"""What an instance knows of the endpoints, and which may get its requests."""

import random
from collections.abc import Callable, Sequence
from typing import final

from verbenahall.backoff import BackoffTable
from verbenahall.clock import Clock
from verbenahall.endpoint_health._breakers import Sending
from verbenahall.endpoint_health._health import EndpointHealthTable
from verbenahall.endpoint_health._notices import EndpointNotices
from verbenahall.endpoint_health._trials import record_reachable
from verbenahall.roster import Entry, Roster


@final
class Endpoints:
    """The roster with the outcomes and the answers of this instance's sends.

    ``roster`` knows which endpoints leave, ``backoffs`` which have requested a
    backoff, and ``health`` which have failed. All choices of an endpoint use
    these.
    """

    __slots__ = (
        'backoffs',
        'health',
        'notices',
        'on_reached',
        'on_unreachable',
        '_now',
        '_roster',
    )

    def __init__(self, roster: Roster, rng: random.Random, now: Clock) -> None:
        """Start without any outcome."""
        self.backoffs = BackoffTable()
        self.health = EndpointHealthTable()
        self.notices = EndpointNotices(
            roster, self.backoffs, self.health, rng, now
        )
        #: Called for each failure to reach an endpoint, with its cause.
        self.on_unreachable: Callable[[Entry, BaseException], object]
        self.on_unreachable = _ignore_unreachable
        #: Called for each endpoint that a probe has reached again.
        self.on_reached: Callable[[Entry], object] = _ignore_reached
        self._now = now
        self._roster = roster

    def record_unreachable(self, endpoint: Entry, cause: BaseException) -> None:
        """Exclude an endpoint that was not reached, unless it has restarted."""
        known = self._roster.find_entry(endpoint.name)
        if known is not None and known.incarnation != endpoint.incarnation:
            return
        self.health.record_unreachable(
            endpoint.name, self._now(), endpoint.born
        )
        self.on_unreachable(endpoint, cause)

    def record_reached(self, endpoint: Entry) -> None:
        """Try an endpoint again that a probe has reached."""
        record_reachable(self.health, endpoint.name)
        self.on_reached(endpoint)

    def list_available(self, service: str, now: float) -> Sequence[Entry]:
        """Return the live endpoints that accept this instance's requests.

        Those that have requested a backoff from it do not.
        """
        live = self._roster.list_live(service, now)
        if self.backoffs.is_empty:
            return list(live)
        return [
            one for one in live if self.backoffs.may_send(one.incarnation, now)
        ]

    def list_backing_off(self, service: str, now: float) -> Sequence[Entry]:
        """Return the live endpoints that have requested a backoff."""
        if self.backoffs.is_empty:
            return ()
        return [
            one
            for one in self._roster.list_live(service, now)
            if not self.backoffs.may_send(one.incarnation, now)
        ]

    def list_usable(self, service: str, now: float) -> Sequence[Entry]:
        """Return the available endpoints of a service that are not avoided.

        If all are avoided, all are returned, as one may have recovered.
        """
        return self._prefer_healthy(
            self.list_available(service, now), now, Sending.OWN
        )

    def list_assigned(self, service: str, now: float) -> Sequence[Entry]:
        """Return the usable endpoints for a request that a scheduler assigned.

        The scheduler limits the requests to those that are back.
        """
        return self._prefer_healthy(
            self.list_available(service, now), now, Sending.ASSIGNED
        )

    def list_assignable(
        self, service: str, now: float, *, is_lost: bool = False
    ) -> Sequence[Entry]:
        """Return the endpoints that may be assigned to other instances.

        A backoff that is requested from this instance does not bind them. With
        ``is_lost`` this instance reaches none of the service; others may reach
        those that it has marked as unreachable.
        """
        live = list(self._roster.list_live(service, now))
        if not is_lost:
            return self._prefer_healthy(live, now, Sending.ASSIGNING)
        ready = [
            one
            for one in live
            if now >= self.health.get(one.name).refusing_until
        ]
        return ready or live

    def has_alternative(self, endpoint: Entry, now: float) -> bool:
        """Whether another endpoint could take a request that one refuses."""
        return any(
            one.name != endpoint.name
            and one.role is endpoint.role
            and not self.health.is_avoided(one.name, now)
            for one in self.list_available(endpoint.service, now)
        )

    def _prefer_healthy(
        self, endpoints: Sequence[Entry], now: float, sending: Sending
    ) -> Sequence[Entry]:
        healthy = [
            one
            for one in endpoints
            if not self.health.is_avoided(one.name, now, sending)
        ]
        return healthy or endpoints


def _ignore_unreachable(endpoint: Entry, cause: BaseException) -> None:
    """Send no alert."""


def _ignore_reached(endpoint: Entry) -> None:
    """Withdraw no alert."""
