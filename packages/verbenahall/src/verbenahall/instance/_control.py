"""The control loops of an instance: list, peers, lease, orders, roles."""

from typing import Any, Final, final

from returns.result import Success

from verbenahall.admin import Readiness
from verbenahall.authority import LeaseKeeper, LeaseTiming
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._core import Core
from verbenahall.instance._gauges import Gauges
from verbenahall.instance._discovery import FleetKnowledge
from verbenahall.instance._pools import Pools
from verbenahall.supervisor import Loops
from verbenahall.instance._dependencies import Surroundings
from verbenahall.load import EngineStates, read_engine_state
from verbenahall.membership import (
    ListPoller,
    OwnReport,
    PeerExchange,
    Prober,
)
from verbenahall.orders import Dispatch, OrderSender, OrderTiming
from verbenahall.roles import RolePlanner
from verbenahall.rollout import Controller

#: Names of the loops that a graceful stop ends before the others.
CONTROLLER: Final = 'controller'
KEEPER: Final = 'lease'


@final
class Control:
    """What an instance does besides answering callers."""

    def __init__(self, core: Core) -> None:
        """Build the loops over the core's states; none runs yet."""
        self._core = core
        self.scope = core.config.data_centre
        self.states = EngineStates()
        self.surroundings = Surroundings(
            self.scope,
            core.folds,
            core.members,
        )
        self._knowledge = FleetKnowledge(
            core.members,
            self.surroundings,
            self.states,
        )
        self.keeper = self._build_keeper()
        self.planner = self._build_planner()
        self.surroundings.roles = lambda: self.planner.roles
        self.peers = self._build_peers()
        self._controller = self._build_controller()

    def loops(self) -> Loops:
        """Return the background loops by name."""
        core = self._core
        timing = core.config.timing
        poller = ListPoller(
            core.config.platform.instance_list,
            core.sessions.kept,
            core.members,
            timing.list_poll_s,
        )
        prober = Prober(core.sessions.kept, core.members, core.source)
        follower = core.snapshots.follower
        gauges = Gauges(core.folds, follower, self.keeper, self.scope)
        return {
            'log': core.snapshots.run,
            'claims': core.claims.run,
            'list': poller.run,
            'probe': prober.run,
            'peers': self.peers.run,
            'roles': self.planner.run,
            'gauges': gauges.run,
            KEEPER: self.keeper.run,
            CONTROLLER: self._controller.run,
        }

    def read_readiness(self) -> Readiness:
        """Say whether the instance takes requests, and if not, why not."""
        readiness = self._core.read_readiness()
        if readiness.ready and not self._knowledge.is_complete():
            return Readiness(ready=False, reason='the fleet is not known yet')
        return readiness

    def _build_keeper(self) -> LeaseKeeper:
        timing = self._core.config.timing
        return LeaseKeeper(
            self._core.folds.authority,
            self._core.client,
            self.scope,
            self._core.holder,
            LeaseTiming(timing.lease_s, timing.clock_margin_s),
            caught_up=self._core.is_caught_up,
        )

    def _build_planner(self) -> RolePlanner:
        pools = Pools(
            self.scope,
            self.surroundings,
            self._core.members,
            self.states,
            self.keeper,
        )
        return RolePlanner(pools)

    def _build_controller(self) -> Controller:
        timing = self._core.config.timing
        order_timing = OrderTiming(
            timing.order_timeout_s,
            timing.longest_pause_s,
        )
        sender = OrderSender(
            lambda now: self.keeper.held(self.scope, now),
            order_timing,
            heard=self._take_state,
        )
        return Controller(
            self.surroundings,
            self._core.folds.orders,
            self.keeper,
            self._core.client,
            sender,
            Dispatch(order_timing),
        )

    def _build_peers(self) -> PeerExchange:
        core = self._core
        own = Endpoint(
            core.config.name,
            EndpointKind.INSTANCE,
            core.config.listen,
            core.config.data_centre,
            core.incarnation,
        )
        return PeerExchange(
            core.sessions.kept,
            core.members,
            own,
            self._report_to_peers,
            core.config.timing.heartbeat_s,
        )

    def _report_to_peers(self) -> OwnReport:
        return OwnReport(
            ready=self.read_readiness().ready,
            position=self._core.folds.settings.position,
        )

    def _take_state(self, table: dict[str, Any]) -> None:
        """Let routing know what an engine under an order has just told.

        Heard only by the slower polls, the end of a change would leave the
        engine idle, and callers turned away where it is the only one.
        """
        read = read_engine_state(table)
        if not isinstance(read, Success):
            return
        found = read.unwrap()
        if found.name in self._core.members.members:
            self.states.put(found)
