"""Connects request handling and polling to the membership."""

from collections.abc import Sequence
from typing import final

from verbenahall import clock
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.load import EngineState
from verbenahall.membership import (
    MembershipState,
    get_status,
    list_endpoints,
    list_live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_state,
)
from verbenahall.orders import OrdersState, is_changing


@final
class MembershipAdapter:
    """Reads the membership, and updates it from the answers of endpoints."""

    __slots__ = ('_members', '_orders')

    def __init__(self, members: MembershipState, orders: OrdersState) -> None:
        """Store both states."""
        self._members = members
        self._orders = orders

    def list_available(
        self,
        kind: EndpointKind,
        now: float,
        service: str,
    ) -> Sequence[Endpoint]:
        """Return the live endpoints that may get new work.

        An engine with an outstanding order gets none: its change waits until
        no request is in flight, and new work would delay it for ever.
        """
        endpoints = list_live(self._members, kind, now, service)
        if kind is not EndpointKind.ENGINE:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if not is_changing(self._orders, endpoint.name)
        ]

    def list_services(self) -> set[str]:
        """Return the services of listed endpoints, also of silent ones."""
        return {
            endpoint.service
            for endpoint in list_endpoints(self._members)
            if endpoint.kind is EndpointKind.SERVICE
        }

    def find_status(self, name: str, now: float) -> EndpointStatus:
        """Return an endpoint's status."""
        return get_status(self._members, name, now)

    def report_answer(self, name: str) -> None:
        """Report that an endpoint answered."""
        observe_answer(self._members, name, clock.monotonic())

    def report_failure(self, name: str) -> None:
        """Report that a request to an endpoint failed."""
        observe_failure(self._members, name, clock.monotonic())

    def report_leaving(self, name: str) -> None:
        """Report that an endpoint announced its own removal."""
        observe_leaving(self._members, name, clock.monotonic())

    def report_state(self, state: EngineState) -> None:
        """Report an engine's incarnation and whether it is leaving.

        After a replacement, the list may be outdated or name no incarnation.
        Requests go only to the incarnation in the membership, so without this
        report a new engine would get no requests.
        """
        observe_state(
            self._members,
            state.name,
            state.incarnation,
            leaving=state.leaving,
            now=clock.monotonic(),
        )
