"""What the role planner of a data centre reads anew at each step."""

import dataclasses
from collections.abc import Iterator
from typing import Final, final

from verbenahall.authority import LeaseKeeper
from verbenahall.fleet import EndpointKind, Standing
from verbenahall.instance._dependencies import Surroundings
from verbenahall.load import EngineStates
from verbenahall.membership import MembershipState, live
from verbenahall.roles import EngineNow
from verbenahall.settings import PoolSettings

_EVEN: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedPool:
    """An automatic pool with its live engines and its team's weights."""

    name: str
    models: tuple[str, ...]
    engines: tuple[EngineNow, ...]
    goodput_weight: float
    change_weight: float
    floor: int


@final
class Pools:
    """Reads the settings in force and the engines' own word."""

    __slots__ = (
        '_data_centre',
        '_keeper',
        '_members',
        '_states',
        '_surroundings',
    )

    def __init__(
        self,
        data_centre: str,
        surroundings: Surroundings,
        members: MembershipState,
        states: EngineStates,
        keeper: LeaseKeeper,
    ) -> None:
        """Read from these parts."""
        self._data_centre = data_centre
        self._surroundings = surroundings
        self._members = members
        self._states = states
        self._keeper = keeper

    def is_leading(self, now: float) -> bool:
        """Whether this process holds the data centre's lease."""
        return self._keeper.held(self._data_centre, now) is not None

    def find_share(self, now: float) -> float:
        """Return this instance's share of the data centre's callers.

        The balancer spreads callers evenly over live instances.
        """
        instances = [
            endpoint
            for endpoint in live(self._members, EndpointKind.INSTANCE, now)
            if endpoint.data_centre == self._data_centre
        ]
        return _EVEN / max(1, len(instances))

    def list_pools(self) -> list[PlannedPool]:
        """Return the data centre's automatic pools."""
        pools = self._surroundings.read_settings().pools.values()
        return [
            self._describe(pool)
            for pool in pools
            if pool.automatic and pool.data_centre == self._data_centre
        ]

    def _describe(self, pool: PoolSettings) -> PlannedPool:
        settings = self._surroundings.read_settings()
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
            goodput_weight=weights.goodput_weight if weights else _EVEN,
            change_weight=weights.change_weight if weights else _EVEN,
            floor=max(floors, default=1),
        )

    def _list_engines(self, pool: PoolSettings) -> Iterator[EngineNow]:
        drains = self._surroundings.read_settings().drains
        for name in pool.engines:
            state = self._states.by_name.get(name)
            if state is None or name in drains:
                continue
            if self._surroundings.standing(name) is Standing.LIVE:
                yield EngineNow(name, state.role, state.report.running)
