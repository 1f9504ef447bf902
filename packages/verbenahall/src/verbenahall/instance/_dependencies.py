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

    __slots__ = (
        '_far',
        '_folds',
        '_members',
        '_own',
        '_revision',
        'data_centre',
        'roles',
    )

    def __init__(
        self,
        data_centre: str,
        folds: Folds,
        members: MembershipState,
    ) -> None:
        """Read from these states; ``roles`` reads the role planner's wish."""
        self.data_centre = data_centre
        self._folds = folds
        self._members = members
        self._revision = -1
        self._own: list[Endpoint] = []
        self._far: list[Endpoint] = []
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

    def own_engines(self) -> Sequence[Endpoint]:
        """Return the data centre's engines, whatever their standing."""
        self._sort_engines()
        return self._own

    def watched_engines(self) -> Sequence[Endpoint]:
        """Return the own engines, and a few of other data centres.

        Requests spill over to these when the own ones are all gone. Which
        ones differs by data centre, so that not all spill to the same.
        """
        self._sort_engines()
        return [*self._own, *self._far]

    def is_far(self, name: str) -> bool:
        """Whether an endpoint stands in another data centre."""
        endpoint = find(self._members, name)
        return endpoint is not None and self._is_elsewhere(endpoint)

    def standing(self, name: str) -> Standing:
        """Return an endpoint's standing at this moment."""
        return standing_of(self._members, name, clock.monotonic())

    def read_roles(self) -> Mapping[str, Role]:
        """Return the role planner's wish for engines of automatic pools."""
        return self.roles()

    def _sort_engines(self) -> None:
        """Pick out the engines anew when members have come or gone.

        Several loops ask for them many times a second, and a list of all
        endpoints is long.
        """
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        engines = [
            endpoint
            for endpoint in all_endpoints(self._members)
            if endpoint.kind is EndpointKind.ENGINE
        ]
        self._own = [one for one in engines if not self._is_elsewhere(one)]
        far = {one.name: one for one in engines if self._is_elsewhere(one)}
        ranked = rank_by_rendezvous(self.data_centre, far)
        self._far = [far[name] for name in ranked[:_SPILL_ENGINES]]

    def _is_elsewhere(self, endpoint: Endpoint) -> bool:
        return endpoint.data_centre != self.data_centre
