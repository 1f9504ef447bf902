"""The inputs that the controller of a data centre reads at each step."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from verbenahall import clock
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus, Role
from verbenahall.instance._folds import Folds
from verbenahall.membership import (
    MembershipState,
    find_endpoint,
    get_status,
    list_endpoints,
)
from verbenahall.routing import rank_by_rendezvous
from verbenahall.settings import EffectiveSettings, effective

#: Number of polled engines of other data centres.
_SPILLOVER_ENGINES: Final = 8


@final
class ControllerDependencies:
    """Effective settings, the data centre's engines, and planned roles."""

    __slots__ = (
        '_folds',
        '_local',
        '_members',
        '_remote',
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
        """Store the states; ``roles`` returns the role planner's roles."""
        self.data_centre = data_centre
        self._folds = folds
        self._members = members
        self._revision = -1
        self._local: list[Endpoint] = []
        self._remote: list[Endpoint] = []
        self.roles: Callable[[], Mapping[str, Role]] = dict

    def read_settings(self) -> EffectiveSettings:
        """Return the effective settings."""
        return effective(self._folds.settings)

    def list_engines(
        self, now: float
    ) -> Sequence[tuple[Endpoint, EndpointStatus]]:
        """Return the data centre's engines with their status."""
        return [
            (engine, get_status(self._members, engine.name, now))
            for engine in self.list_local_engines()
        ]

    def list_local_engines(self) -> Sequence[Endpoint]:
        """Return the data centre's engines, whatever their status."""
        self._refresh_engines()
        return self._local

    def list_polled_engines(self) -> Sequence[Endpoint]:
        """Return the local engines, and a few of other data centres.

        Requests spill over to the latter when all local engines are down. Each
        data centre selects different ones, which spreads the spillover.
        """
        self._refresh_engines()
        return [*self._local, *self._remote]

    def is_in_other_data_centre(self, name: str) -> bool:
        """Whether an endpoint is in another data centre."""
        endpoint = find_endpoint(self._members, name)
        return endpoint is not None and self._is_remote(endpoint)

    def find_status(self, name: str) -> EndpointStatus:
        """Return an endpoint's current status."""
        return get_status(self._members, name, clock.monotonic())

    def read_roles(self) -> Mapping[str, Role]:
        """Return the planned roles for engines of automatic pools."""
        return self.roles()

    def _refresh_engines(self) -> None:
        """Update the lists of engines if the membership has changed.

        They are cached, since several loops read them many times a second and
        the list of all endpoints is long.
        """
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        engines = [
            endpoint
            for endpoint in list_endpoints(self._members)
            if endpoint.kind is EndpointKind.ENGINE
        ]
        self._local = [
            engine for engine in engines if not self._is_remote(engine)
        ]
        remote = {
            engine.name: engine for engine in engines if self._is_remote(engine)
        }
        ranked = rank_by_rendezvous(self.data_centre, remote)
        self._remote = [remote[name] for name in ranked[:_SPILLOVER_ENGINES]]

    def _is_remote(self, endpoint: Endpoint) -> bool:
        return endpoint.data_centre != self.data_centre
