"""Joins what requests meet at endpoints to the membership."""

from collections.abc import Sequence
from typing import final

from verbenahall import clock
from verbenahall.fleet import Endpoint, EndpointKind, Standing
from verbenahall.load import EngineState
from verbenahall.membership import (
    MembershipState,
    live,
    observe_answer,
    observe_failure,
    observe_leaving,
    observe_word,
    standing_of,
)
from verbenahall.orders import OrdersState, is_changing


@final
class Experience:
    """Reads the membership for the callers' path and feeds it back."""

    __slots__ = ('_members', '_orders')

    def __init__(self, members: MembershipState, orders: OrdersState) -> None:
        """Join these two states."""
        self._members = members
        self._orders = orders

    def live(
        self,
        kind: EndpointKind,
        now: float,
        service: str,
    ) -> Sequence[Endpoint]:
        """Return the endpoints that may get new work.

        An engine with an order outstanding gets none: its change waits until
        nothing is in flight, and new work would put it off for ever.
        """
        found = live(self._members, kind, now, service)
        if kind is not EndpointKind.ENGINE:
            return found
        return [
            endpoint
            for endpoint in found
            if not is_changing(self._orders, endpoint.name)
        ]

    def standing(self, name: str, now: float) -> Standing:
        """Return an endpoint's standing."""
        return standing_of(self._members, name, now)

    def heard(self, name: str) -> None:
        """Note an answer."""
        observe_answer(self._members, name, clock.monotonic())

    def missed(self, name: str) -> None:
        """Note a failure."""
        observe_failure(self._members, name, clock.monotonic())

    def leaving(self, name: str) -> None:
        """Note the endpoint's own word that it leaves."""
        observe_leaving(self._members, name, clock.monotonic())

    def told(self, found: EngineState) -> None:
        """Note an engine's own word on its life and on whether it leaves.

        The list lags behind a replacement, or names no life at all; requests
        go only to the life that membership knows, so without the engine's
        word nobody would use it.
        """
        observe_word(
            self._members,
            found.name,
            found.incarnation,
            leaving=found.leaving,
            now=clock.monotonic(),
        )
