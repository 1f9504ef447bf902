"""Joins what requests meet at endpoints to the membership."""

from collections.abc import Sequence
from typing import Final, final

from verbenahall import clock
from verbenahall.fleet import Endpoint, EndpointKind, Standing
from verbenahall.instance._surroundings import Surroundings
from verbenahall.load import EngineState, EngineStates
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


#: Waiting for all of a large data centre would take minutes.
_ENOUGH_ENGINES: Final = 16


@final
class Experience:
    """Reads the membership for the callers' path and feeds it back."""

    __slots__ = ('_known', '_members', '_orders')

    def __init__(self, members: MembershipState, orders: OrdersState) -> None:
        """Join these two states."""
        self._known = False
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

    def knows_fleet(
        self,
        surroundings: Surroundings,
        states: EngineStates,
    ) -> bool:
        """Whether the list and enough live engines in it have been heard.

        A replaced instance that takes requests before that answers that no
        engine holds the model, while its predecessor answered them all. Once
        known, the fleet stays known: a new engine makes nobody unready.
        """
        if self._known or self._members.listed_at is None:
            return self._known
        names = [
            engine.name
            for engine, standing in surroundings.list_engines(clock.monotonic())
            if standing is Standing.LIVE
        ]
        heard = sum(name in states.by_name for name in names)
        self._known = heard >= min(len(names), _ENOUGH_ENGINES)
        return self._known

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
