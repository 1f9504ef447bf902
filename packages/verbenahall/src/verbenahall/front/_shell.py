"""The HTTP routes for callers."""

import asyncio
import secrets
from typing import Final, final

from aiohttp import web

from verbenahall import wire
from verbenahall.admission import AdmissionController, WorkspaceBounds
from verbenahall.config import InstanceConfig
from verbenahall.forwarding import OpenForwards
from verbenahall.front._answers import build_error_response
from verbenahall.front._attempts import AttemptRunner
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._fleet import FleetView
from verbenahall.front._forwarder import PeerForwarder
from verbenahall.front._hop_receiver import HopReceiver
from verbenahall.front._pipeline import RequestPipeline
from verbenahall.front._placement import Placer
from verbenahall.front._reader import RequestReader
from verbenahall.front._requests import RequestHandler
from verbenahall.requests import AttemptIds
from verbenahall.routing import RoutingState

#: Intervals in seconds of the refresh of limits and of the removal of load
#: entries of endpoints that are no longer available.
_REFRESH_S: Final = 0.1
_CLEANUP_S: Final = 10.0
_INCARNATION_BYTES: Final = 6


@final
class Front:
    """Handles callers' requests.

    ``config`` is the instance's settings file, ``dependencies`` the states and
    clients of other slices (see ``FrontDependencies``). ``run`` must run
    alongside the server: it refreshes limits and has attempts made beside those
    at silent endpoints. Create the application with ``make_application`` and
    run it with ``Runner``, which enforce the limits below the level of routes::

        app = make_application(config.limits)
        front = Front(config, dependencies)
        front.add_routes(app)
        runner = Runner(app, config.limits)
    """

    def __init__(
        self, config: InstanceConfig, dependencies: FrontDependencies
    ) -> None:
        """Build the request pipeline; nothing is opened yet."""
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        routing = RoutingState(
            config.name, config.data_centre, dependencies.rng
        )
        fleet = FleetView(dependencies, config)
        self._fleet = fleet
        self._limits = config.limits
        self._dependencies = dependencies
        self._admission = AdmissionController(
            fleet.get_limits, dependencies.clock
        )
        placer = Placer(
            dependencies,
            fleet,
            routing,
            AttemptIds(f'{config.name}.{incarnation}'),
        )
        self._attempts = AttemptRunner(dependencies, placer)
        open_forwards = OpenForwards()
        peers = dependencies.peers
        forwarder = peers and PeerForwarder(
            config.name, dependencies, peers, open_forwards
        )
        receiver = peers and HopReceiver(
            dependencies, peers, fleet, self._attempts, open_forwards
        )
        self._pipeline = RequestPipeline(
            dependencies, fleet, self._admission, self._attempts, forwarder
        )
        self._handler = RequestHandler(
            RequestReader(
                config.limits,
                AttemptIds(f'r-{incarnation}'),
                dependencies.clock,
            ),
            dependencies.read_settings,
            self._pipeline,
            receiver,
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers and the two health routes."""
        self._handler.add_routes(app)
        app.router.add_get('/healthz', self._show_health)
        app.router.add_get('/readyz', self._show_ready)

    async def run(self) -> None:
        """Refresh limits, and look after attempts at silent endpoints."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._admission.run())
            group.create_task(self._refresh())
            group.create_task(self._remove_stale_endpoints())

    async def _refresh(self) -> None:
        position = -1
        while True:
            # There may be thousands of workspaces, so they are read again
            # only when the settings have changed.
            if position != self._dependencies.read_position():
                position = self._dependencies.read_position()
                self._admission.apply_workspaces(self._read_workspaces())
            self._admission.refresh_limits()
            self._attempts.wake_silent()
            self._pipeline.abort_stalled(self._limits.body_timeout_s)
            await asyncio.sleep(_REFRESH_S)

    async def _remove_stale_endpoints(self) -> None:
        while True:
            await asyncio.sleep(_CLEANUP_S)
            self._dependencies.load.retain(self._fleet.list_names())

    def _read_workspaces(self) -> dict[str, WorkspaceBounds]:
        workspaces = self._dependencies.read_settings().workspaces
        return {
            name: WorkspaceBounds(bounds.share, bounds.queue)
            for name, bounds in workspaces.items()
        }

    async def _show_health(self, request: web.Request) -> web.Response:
        return web.Response(body=wire.encode({'alive': True}))

    async def _show_ready(self, request: web.Request) -> web.Response:
        problem = self._dependencies.check_ready()
        if problem:
            return build_error_response(problem)
        return web.Response(body=wire.encode({'ready': True}))
