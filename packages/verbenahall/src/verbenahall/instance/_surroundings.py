"""What the controller of a data centre reads anew at each step."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from verbenahall import clock
from verbenahall.fleet import Endpoint, EndpointKind, Role, Standing
from verbenahall.instance._folds import Folds
from verbenahall.membership import (
    MembershipState,
    all_endpoints,
    find,
    standing_of,
)
from verbenahall.routing import rank_by_rendezvous
from verbenahall.settings import EffectiveSettings, effective

#: Engines of other data centres that are kept in sight.
_SPILL_ENGINES: Final = 8


@final
class Surroundings:
    """Settings in force, the data centre's engines, and wished roles."""

    __slots__ = ('_data_centre', '_folds', '_members', 'roles')

    def __init__(
        self,
        data_centre: str,
        folds: Folds,
        members: MembershipState,
    ) -> None:
        """Read from these states; ``roles`` reads the role planner's wish."""
        self._data_centre = data_centre
        self._folds = folds
        self._members = members
        self.roles: Callable[[], Mapping[str, Role]] = dict

    def read_settings(self) -> EffectiveSettings:
        """Return the settings in force."""
        return effective(self._folds.settings)

    def list_engines(self, now: float) -> Sequence[tuple[Endpoint, Standing]]:
        """Return the data centre's engines with their standing."""
        return [
            (engine, standing_of(self._members, engine.name, now))
            for engine in self.own_engines()
        ]

    def own_engines(self) -> list[Endpoint]:
        """Return the data centre's engines, whatever their standing."""
        return [
            endpoint
            for endpoint in all_endpoints(self._members)
            if endpoint.kind is EndpointKind.ENGINE
            and endpoint.data_centre == self._data_centre
        ]

    def watched_engines(self) -> list[Endpoint]:
        """Return the own engines, and a few of other data centres.

        Requests spill over to these when the own ones are all gone. Which
        ones differs by data centre, so that not all spill to the same.
        """
        far = {
            endpoint.name: endpoint
            for endpoint in all_endpoints(self._members)
            if endpoint.kind is EndpointKind.ENGINE
            and endpoint.data_centre != self._data_centre
        }
        ranked = rank_by_rendezvous(self._data_centre, far)
        return [
            *self.own_engines(),
            *(far[name] for name in ranked[:_SPILL_ENGINES]),
        ]

    def is_far(self, name: str) -> bool:
        """Whether an endpoint stands in another data centre."""
        endpoint = find(self._members, name)
        return endpoint is not None and (
            endpoint.data_centre != self._data_centre
        )

    def standing(self, name: str) -> Standing:
        """Return an endpoint's standing at this moment."""
        return standing_of(self._members, name, clock.monotonic())

    def read_roles(self) -> Mapping[str, Role]:
        """Return the role planner's wish for engines of automatic pools."""
        return self.roles()
