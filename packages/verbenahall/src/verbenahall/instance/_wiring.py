"""Composes the slices of one instance.

Construction order follows the way of data: sessions, folds, membership, the
controller of the data centre, then the routes that callers and operators use.
"""

import functools
import random
import secrets
from collections.abc import Mapping
from typing import Final, final

from aiohttp import web

from verbenahall import clock, metrics
from verbenahall.admin import AdminApi, Readiness
from verbenahall.authority import LeaseKeeper, LeaseTiming
from verbenahall.claims import Claims
from verbenahall.config import InstanceConfig
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front import (
    Adapters,
    EngineAdapter,
    Front,
    Parts,
    ServiceAdapter,
    Sessions,
    make_application,
    make_session,
)
from verbenahall.instance._experience import Experience
from verbenahall.instance._folds import Folds
from verbenahall.instance._pools import Pools
from verbenahall.instance._supervisor import Loop
from verbenahall.instance._surroundings import Surroundings
from verbenahall.load import (
    EngineStates,
    LoadState,
    Report,
    StatePoller,
    observe_report,
)
from verbenahall.log import LogClient, LogFollower
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership import (
    ListPoller,
    MembershipState,
    OwnReport,
    PeerExchange,
    Prober,
)
from verbenahall.orders import (
    Dispatch,
    OrderSender,
    OrderTiming,
    is_changing,
)
from verbenahall.roles import RolePlanner
from verbenahall.rollout import Controller

#: Names of the loops that a graceful stop ends before the others.
CONTROLLER: Final = 'controller'
KEEPER: Final = 'lease'
_INCARNATION_BYTES: Final = 4
#: The log counts as heard while its last answer is at most this old.
_HEARD_S: Final = 10.0


@final
class Instance:
    """All parts of one instance, built but not running."""

    def __init__(self, config: InstanceConfig) -> None:
        """Build every part; the loop must be running."""
        self.config = config
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.holder = f'{config.name}.{self.incarnation}'
        self.sessions = Sessions(make_session(), make_session(fresh=True))
        self.client = LogClient(
            config.platform.log,
            self.sessions.kept,
            self.holder,
        )
        self.claims = Claims(self.client, self.holder)
        self.folds = Folds(self.claims)
        self.follower = LogFollower(self.client, (self.folds.apply_record,))
        self.stopping = False
        self._build_membership()
        self._build_controller()
        self._build_front()
        self.app = self._build_application()

    def read_readiness(self) -> Readiness:
        """Say whether the instance takes requests, and if not, why not."""
        if self.stopping:
            return Readiness(ready=False, reason='stopping')
        if self.follower.head < 0:
            return Readiness(ready=False, reason='the log was not heard yet')
        if self.follower.position < 0:
            return Readiness(ready=False, reason='settings are not known yet')
        return Readiness(ready=True)

    def is_caught_up(self) -> bool:
        """Whether the follower has read to the log's end just now."""
        age_s = clock.monotonic() - self.follower.last_contact
        heard = self.follower.head >= 0 and age_s < _HEARD_S
        return heard and self.follower.position >= self.follower.head

    def loops(self) -> Mapping[str, Loop]:
        """Return the background loops by name."""
        return {
            'log': self.follower.run,
            'list': self.poller.run,
            'probe': self.prober.run,
            'peers': self.peers.run,
            'roles': self.planner.run,
            'states': self.state_poller.run,
            'claims': self.claims.run,
            'front': self.front.run,
            KEEPER: self.keeper.run,
            CONTROLLER: self.controller.run,
        }

    async def announce_stop(self) -> None:
        """Take no new requests from now on."""
        self.stopping = True
        await self.peers.announce_leaving()

    async def close(self) -> None:
        """Close the client sessions."""
        await self.sessions.kept.close()
        await self.sessions.fresh.close()

    def _build_membership(self) -> None:
        timing = self.config.timing
        self.members = MembershipState()
        self.experience = Experience(self.members, self.folds.orders)
        self.poller = ListPoller(
            self.config.platform.instance_list,
            self.sessions.kept,
            self.members,
            timing.list_poll_s,
        )
        self.prober = Prober(
            self.sessions.kept,
            self.members,
            random.Random(self.holder),
        )

        self.peers = PeerExchange(
            self.sessions.kept,
            self.members,
            Endpoint(
                self.config.name,
                EndpointKind.INSTANCE,
                self.config.listen,
                self.config.data_centre,
                self.incarnation,
            ),
            lambda: OwnReport(
                ready=self.read_readiness().ready,
                position=self.folds.settings.position,
            ),
            timing.heartbeat_s,
        )

    def _build_controller(self) -> None:
        timing = self.config.timing
        scope = self.config.data_centre
        order_timing = OrderTiming(
            timing.order_timeout_s,
            timing.longest_pause_s,
        )
        self.surroundings = Surroundings(scope, self.folds, self.members)
        self.keeper = LeaseKeeper(
            self.folds.authority,
            self.client,
            scope,
            self.holder,
            LeaseTiming(timing.lease_s, timing.clock_margin_s),
            caught_up=self.is_caught_up,
        )
        self.controller = Controller(
            self.surroundings,
            self.folds.orders,
            self.keeper,
            self.client,
            OrderSender(
                lambda now: self.keeper.held(scope, now),
                order_timing,
            ),
            Dispatch(order_timing),
        )

    def _build_front(self) -> None:
        self.load = LoadState()
        self.states = EngineStates()
        experience = self.experience
        self.state_poller = StatePoller(
            self.sessions.kept,
            self.surroundings.watched_engines,
            self.states,
            self.load,
            self.config.timing.load_poll_s,
            heard=experience.heard,
            missed=experience.missed,
            leaving=experience.leaving,
            urgent=functools.partial(is_changing, self.folds.orders),
            far=self.surroundings.is_far,
        )
        self.planner = RolePlanner(
            Pools(
                self.config.data_centre,
                self.surroundings,
                self.members,
                self.states,
                self.keeper,
            ),
        )
        self.surroundings.roles = lambda: self.planner.roles
        self.front = Front(
            self.config,
            Parts(
                live=experience.live,
                standing=experience.standing,
                heard=experience.heard,
                missed=experience.missed,
                leaving=experience.leaving,
                settings=self.surroundings.read_settings,
                position=lambda: self.folds.settings.position,
                claim=self.claims.claim,
                release=self.claims.release,
                arrived=self.planner.note_arrival,
                unready=self._find_unready,
                load=self.load,
                states=self.states,
                adapters=Adapters(
                    EngineAdapter(self.sessions, self._take_report),
                    ServiceAdapter(self.sessions, self._take_report),
                ),
                source=random.Random(self.holder),
            ),
        )

    def _build_application(self) -> web.Application:
        app = make_application(self.config.limits)
        identity = (
            self.config.name,
            self.config.data_centre,
            self.incarnation,
        )
        self.front.add_routes(app)
        AdminApi(
            identity,
            self.config.admin,
            self.folds.settings,
            self.follower,
            self.read_readiness,
        ).add_routes(app)
        self.peers.add_routes(app)
        metrics.add_routes(app)
        return app

    def _find_unready(self) -> Problem | None:
        readiness = self.read_readiness()
        if readiness.ready:
            return None
        return Problem(ErrorKind.NOT_READY, readiness.reason)

    def _take_report(self, name: str, report: Report) -> None:
        observe_report(self.load, name, report, clock.monotonic())
