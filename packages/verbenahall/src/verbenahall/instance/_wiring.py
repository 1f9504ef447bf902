"""Composes one instance: core, control loops, the callers' path, routes."""

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
    Parts,
    ServiceAdapter,
    make_application,
)
from verbenahall.instance._control import Control
from verbenahall.instance._core import Core
from verbenahall.supervisor import Loops
from verbenahall.load import LoadState, Report, StatePoller, observe_report
from verbenahall.orders import is_changing


@final
class Instance:
    """All parts of one instance, built but not running."""

    def __init__(self, config: InstanceConfig) -> None:
        """Build every part; the loop must be running."""
        self.core = Core(config)
        self.control = Control(self.core)
        self._load = LoadState()
        self._front = Front(config, self._list_parts())
        self.app = self._build_application()

    def loops(self) -> Loops:
        """Return all background loops by name."""
        return {
            **self.control.loops(),
            'states': self._build_state_poller().run,
            'front': self._front.run,
        }

    async def announce_stop(self) -> None:
        """Take no new requests from now on."""
        self.core.stopping = True
        await self.control.peers.announce_leaving()

    def _build_state_poller(self) -> StatePoller:
        experience = self.core.experience
        return StatePoller(
            self.core.sessions.kept,
            self.control.surroundings.watched_engines,
            self.control.states,
            self._load,
            self.core.config.timing.load_poll_s,
            heard=experience.heard,
            missed=experience.missed,
            told=experience.told,
            urgent=functools.partial(is_changing, self.core.folds.orders),
            far=self.control.surroundings.is_far,
        )

    def _list_parts(self) -> Parts:
        core = self.core
        experience = core.experience
        return Parts(
            live=experience.live,
            standing=experience.standing,
            heard=experience.heard,
            missed=experience.missed,
            settings=self.control.surroundings.read_settings,
            position=lambda: core.folds.settings.position,
            claim=core.claims.claim,
            release=core.claims.release,
            arrived=self.control.planner.note_arrival,
            unready=self._find_unready,
            load=self._load,
            states=self.control.states,
            adapters=Adapters(
                EngineAdapter(core.sessions, self._take_report),
                ServiceAdapter(core.sessions, self._take_report),
            ),
            source=core.source,
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

    def _find_unready(self) -> Problem | None:
        readiness = self.control.read_readiness()
        if readiness.ready:
            return None
        return Problem(ErrorKind.NOT_READY, readiness.reason)

    def _take_report(self, name: str, report: Report) -> None:
        observe_report(self._load, name, report, clock.monotonic())
