"""Plans the roles of each service by its engines, their speeds and demand."""

from collections.abc import Mapping, Sequence
from typing import final

from verbenahall.catalog import EngineTraits
from verbenahall.engine_speeds import EngineUse, RoleTimer
from verbenahall.fleet import Role
from verbenahall.placement._roles import RoleChange, plan_roles
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry


@final
class RoleObserver:
    """Detects that listed engines have changed their roles."""

    __slots__ = ('_roles',)

    def __init__(self) -> None:
        """Start without any roles."""
        self._roles: dict[str, dict[str, Role | None]] = {}

    def update(self, service: str, listed: Sequence[Entry]) -> bool:
        """Update the roles from the list; True if a listed role changed."""
        previous = self._roles.get(service, {})
        now = {engine.name: engine.role for engine in listed}
        self._roles[service] = now
        known = previous.keys() & now.keys()
        return any(previous[name] is not now[name] for name in known)


@final
class RolePlanner:
    """Plans roles by what a placement state has measured of the engines."""

    __slots__ = ('_state', '_timers')

    def __init__(self, state: PlacementState) -> None:
        """Start without any reason to change roles."""
        self._state = state
        self._timers: dict[str, RoleTimer] = {}

    def plan(
        self,
        engines: Sequence[Entry],
        traits: EngineTraits,
        recently_lost: int,
        now: float,
    ) -> tuple[RoleChange, ...]:
        """Return the changes that give the engines of a service their roles.

        ``recently_lost`` is the number of engines that were lost without
        notice. To be called several times a second.
        """
        if not engines:
            return ()
        service = engines[0].service
        factors = self._state.engine_speeds.list_long_term(service)
        timer = self._timers.get(service)
        if timer is None:
            timer = RoleTimer(traits.role_change_s)
            self._timers[service] = timer
        streams = {
            one.name: self._state.load_table.totals(one.name).streams
            for one in engines
        }
        roles = timer.update(
            engines,
            factors,
            self._measure_use(streams, engines, traits),
            now,
            is_disturbed=recently_lost > 0,
        )
        return plan_roles(engines, streams, recently_lost, factors, roles)

    def _measure_use(
        self,
        streams: Mapping[str, int],
        engines: Sequence[Entry],
        traits: EngineTraits,
    ) -> EngineUse | None:
        """Return the use of the engines, None if not all peers report.

        In a large fleet instances know different parts of it. Each would change
        back what another one has ordered.
        """
        load_table = self._state.load_table
        if load_table.scale != 1:
            return None
        prefilling = sum(
            load_table.totals(one.name).prefill_tokens > 0
            for one in engines
            if one.role is Role.PREFILL
        )
        return EngineUse(prefilling, sum(streams.values()) / traits.slots)
