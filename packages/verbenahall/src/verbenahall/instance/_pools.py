"""The inputs that the role planner of a data centre reads at each step."""

import dataclasses
from collections.abc import Iterator
from typing import Final, final

from verbenahall.authority import LeaseManager
from verbenahall.fleet import EndpointKind, EndpointStatus
from verbenahall.instance._dependencies import ControllerDependencies
from verbenahall.load import EngineStates
from verbenahall.membership import MembershipState, list_live
from verbenahall.roles import EngineStatus
from verbenahall.settings import PoolSettings

_UNIT_WEIGHT: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedPool:
    """An automatic pool with its live engines and its team's weights."""

    name: str
    models: tuple[str, ...]
    engines: tuple[EngineStatus, ...]
    goodput_weight: float
    change_weight: float
    floor: int


@final
class Pools:
    """Reads pools from the effective settings and the engines' states."""

    __slots__ = (
        '_data_centre',
        '_dependencies',
        '_lease_manager',
        '_members',
        '_states',
    )

    def __init__(
        self,
        data_centre: str,
        dependencies: ControllerDependencies,
        members: MembershipState,
        states: EngineStates,
        lease_manager: LeaseManager,
    ) -> None:
        """Store the sources."""
        self._data_centre = data_centre
        self._dependencies = dependencies
        self._members = members
        self._states = states
        self._lease_manager = lease_manager

    def is_leader(self, now: float) -> bool:
        """Whether this process holds the data centre's lease."""
        return (
            self._lease_manager.find_token(self._data_centre, now) is not None
        )

    def get_traffic_share(self, now: float) -> float:
        """Return this instance's share of the data centre's requests.

        The balancer distributes callers evenly over live instances.
        """
        instances = [
            endpoint
            for endpoint in list_live(self._members, EndpointKind.INSTANCE, now)
            if endpoint.data_centre == self._data_centre
        ]
        return _UNIT_WEIGHT / max(1, len(instances))

    def list_pools(self) -> list[PlannedPool]:
        """Return the data centre's automatic pools."""
        pools = self._dependencies.read_settings().pools.values()
        return [
            self._describe(pool)
            for pool in pools
            if pool.automatic and pool.data_centre == self._data_centre
        ]

    def _describe(self, pool: PoolSettings) -> PlannedPool:
        settings = self._dependencies.read_settings()
        weights = settings.planner.get(pool.team)
        floors = (
            settings.models[model].floor
            for model in pool.models
            if model in settings.models
        )
        return PlannedPool(
            name=pool.name,
            models=pool.models,
            engines=tuple(self._list_engines(pool)),
            goodput_weight=weights.goodput_weight if weights else _UNIT_WEIGHT,
            change_weight=weights.change_weight if weights else _UNIT_WEIGHT,
            floor=max(floors, default=1),
        )

    def _list_engines(self, pool: PoolSettings) -> Iterator[EngineStatus]:
        drains = self._dependencies.read_settings().drains
        for name in pool.engines:
            state = self._states.by_name.get(name)
            if state is None or name in drains:
                continue
            if self._dependencies.find_status(name) is EndpointStatus.LIVE:
                yield EngineStatus(name, state.role, state.report.running)
