"""The control loops of an instance: list, peers, lease, orders, roles."""

from typing import Any, Final, final

from returns.result import Success

from verbenahall.admin import Readiness
from verbenahall.authority import LeaseManager, LeaseTiming
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._core import Core
from verbenahall.instance._dependencies import ControllerDependencies
from verbenahall.instance._discovery import FleetDiscovery
from verbenahall.instance._gauges import Gauges
from verbenahall.instance._pools import Pools
from verbenahall.load import EngineStates, read_engine_state
from verbenahall.membership import (
    InstanceStatus,
    ListPoller,
    PeerExchange,
    Prober,
)
from verbenahall.orders import Dispatch, OrderSender, OrderTiming
from verbenahall.roles import RolePlanner
from verbenahall.rollout import Controller
from verbenahall.supervisor import Loops

#: Names of the loops that a graceful stop ends before the others.
CONTROLLER_LOOP: Final = 'controller'
LEASE_LOOP: Final = 'lease'


@final
class Control:
    """The loops and states of an instance besides request handling."""

    def __init__(self, core: Core) -> None:
        """Build the loops on the core's states; none is started yet."""
        self._core = core
        self.scope = core.config.data_centre
        self.states = EngineStates()
        self.dependencies = ControllerDependencies(
            self.scope,
            core.folds,
            core.members,
        )
        self._discovery = FleetDiscovery(
            core.members,
            self.dependencies,
            self.states,
        )
        self.lease_manager = self._build_lease_manager()
        self.planner = self._build_planner()
        self.dependencies.roles = lambda: self.planner.roles
        self.peers = self._build_peers()
        self._controller = self._build_controller()

    def loops(self) -> Loops:
        """Return the background loops by name."""
        core = self._core
        timing = core.config.timing
        poller = ListPoller(
            core.config.platform.instance_list,
            core.sessions.pooled,
            core.members,
            timing.list_poll_s,
        )
        prober = Prober(core.sessions.pooled, core.members, core.rng)
        follower = core.snapshots.follower
        gauges = Gauges(core.folds, follower, self.lease_manager, self.scope)
        return {
            'log': core.snapshots.run,
            'claims': core.claims.run,
            'list': poller.run,
            'probe': prober.run,
            'peers': self.peers.run,
            'roles': self.planner.run,
            'gauges': gauges.run,
            LEASE_LOOP: self.lease_manager.run,
            CONTROLLER_LOOP: self._controller.run,
        }

    def read_readiness(self) -> Readiness:
        """Return whether the instance takes requests, and if not, why not."""
        readiness = self._core.read_readiness()
        if readiness.ready and not self._discovery.is_complete():
            return Readiness(
                ready=False, reason='the fleet has not been discovered yet'
            )
        return readiness

    def _build_lease_manager(self) -> LeaseManager:
        timing = self._core.config.timing
        return LeaseManager(
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
            self.dependencies,
            self._core.members,
            self.states,
            self.lease_manager,
        )
        return RolePlanner(pools)

    def _build_controller(self) -> Controller:
        timing = self._core.config.timing
        order_timing = OrderTiming(
            timing.order_timeout_s,
            timing.longest_pause_s,
        )
        sender = OrderSender(
            lambda now: self.lease_manager.find_token(self.scope, now),
            order_timing,
            on_state=self._record_state,
        )
        return Controller(
            self.dependencies,
            self._core.folds.orders,
            self.lease_manager,
            self._core.client,
            sender,
            Dispatch(order_timing),
        )

    def _build_peers(self) -> PeerExchange:
        core = self._core
        local_instance = Endpoint(
            core.config.name,
            EndpointKind.INSTANCE,
            core.config.listen,
            core.config.data_centre,
            core.incarnation,
        )
        return PeerExchange(
            core.sessions.pooled,
            core.members,
            local_instance,
            self._build_peer_report,
            core.config.timing.heartbeat_s,
        )

    def _build_peer_report(self) -> InstanceStatus:
        return InstanceStatus(
            ready=self.read_readiness().ready,
            position=self._core.folds.settings.position,
        )

    def _record_state(self, table: dict[str, Any]) -> None:
        """Store an engine's state that the controller has polled.

        Otherwise routing would see the end of a change only at its own next
        poll, which is slower. Until then the engine would stay idle, and if it
        is the only one with its model, requests would be rejected.
        """
        read = read_engine_state(table)
        if not isinstance(read, Success):
            return
        state = read.unwrap()
        if state.name in self._core.members.members:
            self.states.put(state)
