"""Whether a starting instance has discovered enough of the fleet.

An instance that takes requests before that would answer that no engine has the
model, or that a service does not exist, although the other instances use them.
"""

from collections.abc import Container, Iterable
from typing import Final, final

from verbenahall import clock
from verbenahall.fleet import EndpointKind, EndpointStatus
from verbenahall.instance._dependencies import ControllerDependencies
from verbenahall.load import EngineStates
from verbenahall.membership import (
    MembershipState,
    get_status,
    list_endpoints,
)
from verbenahall.settings import EffectiveSettings

#: Number of engines whose state is enough; waiting for every engine of a large
#: data centre would take minutes.
_SUFFICIENT_ENGINES: Final = 16
#: Maximum delay between a registration and its appearance on the list, in
#: seconds. Endpoints that are not listed by then count as removed.
LIST_DELAY_S: Final = 3.0


def is_fleet_discovered(
    members: MembershipState,
    settings: EffectiveSettings,
    data_centre: str,
    reporting: Container[str],
    now: float,
) -> bool:
    """Whether the list was read and enough of its engines have reported.

    ``reporting`` holds the names of the engines whose state is known. Endpoints
    that the settings name but the list does not show are awaited for up to
    ``LIST_DELAY_S`` after the first list, which may be older than they are.
    """
    if members.first_listed_at is None:
        return False
    engines = [
        endpoint.name
        for endpoint in list_endpoints(members)
        if endpoint.kind is EndpointKind.ENGINE
        and endpoint.data_centre == data_centre
    ]
    live = _filter_live(members, engines, now)
    reporting_count = sum(name in reporting for name in live)
    if reporting_count < min(len(live), _SUFFICIENT_ENGINES):
        return False
    if now - members.first_listed_at >= LIST_DELAY_S:
        return True
    if engines and not reporting_count:
        # No engine answered its first poll; this happens while all start.
        return False
    return _lists_all(members, settings, data_centre)


def _filter_live(
    members: MembershipState,
    names: Iterable[str],
    now: float,
) -> list[str]:
    return [
        name
        for name in names
        if get_status(members, name, now) is EndpointStatus.LIVE
    ]


def _lists_all(
    members: MembershipState,
    settings: EffectiveSettings,
    data_centre: str,
) -> bool:
    """Whether the list shows all engines and services in the settings."""
    engines = {
        name
        for pool in settings.pools.values()
        if pool.data_centre == data_centre
        for name in pool.engines
    }
    services = set(settings.services)
    if not engines and not services:
        return False
    listed_services = {endpoint.service for endpoint in list_endpoints(members)}
    return engines <= members.members.keys() and services <= listed_services


@final
class FleetDiscovery:
    """Tracks whether the fleet was discovered.

    Once discovered, it stays so: a new engine must not make a running instance
    unready.
    """

    __slots__ = ('_dependencies', '_discovered', '_members', '_states')

    def __init__(
        self,
        members: MembershipState,
        dependencies: ControllerDependencies,
        states: EngineStates,
    ) -> None:
        """Read from these states."""
        self._discovered = False
        self._members = members
        self._dependencies = dependencies
        self._states = states

    def is_complete(self) -> bool:
        """Whether the fleet has been discovered, now or earlier."""
        if not self._discovered:
            self._discovered = is_fleet_discovered(
                self._members,
                self._dependencies.read_settings(),
                self._dependencies.data_centre,
                self._states.by_name,
                clock.monotonic(),
            )
        return self._discovered
