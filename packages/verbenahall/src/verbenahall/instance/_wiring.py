"""Composes an instance: core, control loops, request handling, routes."""

import functools
from typing import final

from aiohttp import web

from verbenahall import clock, metrics
from verbenahall.admin import AdminApi
from verbenahall.config import InstanceConfig
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front import (
    Adapters,
    EngineAdapter,
    Front,
    FrontDependencies,
    PeerAccess,
    ServiceAdapter,
    make_application,
)
from verbenahall.instance._control import Control
from verbenahall.instance._core import Core
from verbenahall.load import LoadState, Report, StatePoller, record_report
from verbenahall.orders import is_changing
from verbenahall.supervisor import Loops


@final
class Instance:
    """All parts of one instance; ``loops`` returns its background loops."""

    def __init__(self, config: InstanceConfig) -> None:
        """Build every part; the event loop must be running."""
        self.core = Core(config)
        self.control = Control(self.core)
        self._load = LoadState()
        self._front = Front(config, self._build_dependencies())
        self.app = self._build_application()

    def loops(self) -> Loops:
        """Return all background loops by name."""
        return {
            **self.control.loops(),
            'states': self._build_state_poller().run,
            'front': self._front.run,
        }

    async def announce_stop(self) -> None:
        """Become not ready, and announce to peers that the instance leaves."""
        self.core.stopping = True
        await self.control.peers.announce_leaving()

    def _build_state_poller(self) -> StatePoller:
        membership = self.core.membership
        return StatePoller(
            self.core.sessions.pooled,
            self.control.dependencies.list_polled_engines,
            self.control.states,
            self._load,
            self.core.config.timing.load_poll_s,
            on_success=membership.report_answer,
            on_failure=membership.report_failure,
            on_state=membership.report_state,
            is_urgent=functools.partial(is_changing, self.core.folds.orders),
            is_remote=self.control.dependencies.is_in_other_data_centre,
        )

    def _build_dependencies(self) -> FrontDependencies:
        core = self.core
        membership = core.membership
        return FrontDependencies(
            list_available=membership.list_available,
            find_status=membership.find_status,
            report_answer=membership.report_answer,
            report_failure=membership.report_failure,
            read_settings=self.control.dependencies.read_settings,
            read_position=lambda: core.folds.settings.position,
            claim=core.claims.claim,
            release=core.claims.release,
            record_demand=self.control.planner.record_arrival,
            check_ready=self._check_ready,
            load=self._load,
            states=self.control.states,
            adapters=Adapters(
                EngineAdapter(core.sessions, self._record_load_report),
                ServiceAdapter(core.sessions, self._record_load_report),
            ),
            rng=core.rng,
            list_services=membership.list_services,
            peers=PeerAccess(
                core.sessions,
                core.list_peers,
                is_local=core.is_local,
                is_author=core.is_instance,
            ),
            bears=core.bears,
            record_run=core.run_times.record,
        )

    def _build_application(self) -> web.Application:
        core = self.core
        app = make_application(core.config.limits)
        admin = AdminApi(
            (core.config.name, core.config.data_centre, core.incarnation),
            core.config.admin,
            core.folds.settings,
            core.snapshots.follower,
            self.control.read_readiness,
        )
        self._front.add_routes(app)
        admin.add_routes(app)
        self.control.peers.add_routes(app)
        core.snapshots.add_routes(app)
        metrics.add_routes(app)
        return app

    def _check_ready(self) -> Problem | None:
        readiness = self.control.read_readiness()
        if readiness.ready:
            return None
        return Problem(ErrorKind.NOT_READY, readiness.reason)

    def _record_load_report(self, name: str, report: Report) -> None:
        record_report(self._load, name, report, clock.monotonic())
