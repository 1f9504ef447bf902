"""Whether a starting instance knows enough of the fleet to take requests.

An instance that takes requests before it knows the fleet answers that no
engine holds the model and that the service does not exist, while the fleet
is there and the other instances use it.
"""

from collections.abc import Container, Iterable
from typing import Final, final

from verbenahall import clock
from verbenahall.fleet import EndpointKind, Standing
from verbenahall.instance._dependencies import Surroundings
from verbenahall.load import EngineStates
from verbenahall.membership import (
    MembershipState,
    all_endpoints,
    standing_of,
)
from verbenahall.settings import EffectiveSettings

#: Waiting for all of a large data centre would take minutes.
_ENOUGH_ENGINES: Final = 16
#: The list shows a registration up to this many seconds later; what it has
#: not shown by then is taken for gone.
LIST_DELAY_S: Final = 3.0


def is_fleet_known(
    members: MembershipState,
    settings: EffectiveSettings,
    data_centre: str,
    heard: Container[str],
    now: float,
) -> bool:
    """Whether the list and enough of the engines in it have been heard.

    ``heard`` holds the engines that have told their state. What the settings
    name and the list does not show is waited for, for ``LIST_DELAY_S`` from
    the first list on: the list may be older than the endpoint.
    """
    if members.first_listed_at is None:
        return False
    engines = [
        endpoint.name
        for endpoint in all_endpoints(members)
        if endpoint.kind is EndpointKind.ENGINE
        and endpoint.data_centre == data_centre
    ]
    live = _pick_live(members, engines, now)
    heard_count = sum(name in heard for name in live)
    if heard_count < min(len(live), _ENOUGH_ENGINES):
        return False
    if now - members.first_listed_at >= LIST_DELAY_S:
        return True
    if engines and not heard_count:
        # Every engine missed its first poll, as happens while all start.
        return False
    return _shows_all(members, settings, data_centre)


def _pick_live(
    members: MembershipState,
    names: Iterable[str],
    now: float,
) -> list[str]:
    return [
        name
        for name in names
        if standing_of(members, name, now) is Standing.LIVE
    ]


def _shows_all(
    members: MembershipState,
    settings: EffectiveSettings,
    data_centre: str,
) -> bool:
    """Whether the list shows all engines and services the settings name."""
    engines = {
        name
        for pool in settings.pools.values()
        if pool.data_centre == data_centre
        for name in pool.engines
    }
    services = set(settings.services)
    if not engines and not services:
        return False
    shown = {endpoint.service for endpoint in all_endpoints(members)}
    return engines <= members.members.keys() and services <= shown


@final
class FleetKnowledge:
    """Remembers that the fleet was known once.

    Once known, the fleet stays known: a new engine makes nobody unready.
    """

    __slots__ = ('_known', '_members', '_states', '_surroundings')

    def __init__(
        self,
        members: MembershipState,
        surroundings: Surroundings,
        states: EngineStates,
    ) -> None:
        """Read from these states."""
        self._known = False
        self._members = members
        self._surroundings = surroundings
        self._states = states

    def is_complete(self) -> bool:
        """Whether the fleet is, or once was, known."""
        if not self._known:
            self._known = is_fleet_known(
                self._members,
                self._surroundings.read_settings(),
                self._surroundings.data_centre,
                self._states.by_name,
                clock.monotonic(),
            )
        return self._known
