"""The routes that callers use."""

import asyncio
import secrets
from typing import Final, final

from aiohttp import web
from returns.result import Failure

from verbenahall import wire
from verbenahall.admission import RateLimiter, WorkspaceBounds
from verbenahall.config import InstanceConfig
from verbenahall.front._answers import answer_problem
from verbenahall.front._attempts import Attempts
from verbenahall.front._fleet import FleetView
from verbenahall.front._pipeline import Flow
from verbenahall.front._parse import read_model_call, read_service_call
from verbenahall.front._dependencies import Parts
from verbenahall.front._placement import Placer
from verbenahall.front._reader import Reader
from verbenahall.requests import AttemptNames
from verbenahall.routing import RoutingState

_REFRESH_S: Final = 0.1
_TIDY_S: Final = 10.0
_INCARNATION_BYTES: Final = 6


@final
class Front:
    """Takes callers' requests and answers each of them once.

    ``config`` is the instance's own settings file, ``parts`` the states and
    clients of other slices (see ``Parts``). ``run`` must run beside the
    server: it refreshes limits and ends attempts at silent endpoints. The
    application is best made by ``make_application`` and run by ``Runner``,
    which hold the limits that lie below the routes::

        app = make_application(config.limits)
        front = Front(config, parts)
        front.add_routes(app)
        runner = Runner(app, config.limits)
    """

    def __init__(self, config: InstanceConfig, parts: Parts) -> None:
        """Compose the request's way; nothing is opened yet."""
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        routing = RoutingState(config.name, config.data_centre, parts.source)
        attempts = AttemptNames(f'{config.name}.{incarnation}')
        requests = AttemptNames(f'r-{incarnation}')
        fleet = FleetView(parts, config)
        self._fleet = fleet
        self._limits = config.limits
        self._parts = parts
        self._reader = Reader(config.limits, requests, parts.clock)
        self._gate = RateLimiter(fleet.limits_of, parts.clock)
        placer = Placer(parts, fleet, routing, attempts)
        self._attempts = Attempts(parts, placer)
        self._flow = Flow(parts, fleet, self._gate, self._attempts)

    def add_routes(self, app: web.Application) -> None:
        """Add the callers' routes and the two health routes."""
        app.router.add_post('/v1/completions', self._take_model_call)
        app.router.add_post('/v1/chat/completions', self._take_model_call)
        app.router.add_route(
            '*',
            '/services/{name}{tail:(/.*)?}',
            self._take_service_call,
        )
        app.router.add_get('/healthz', self._show_health)
        app.router.add_get('/readyz', self._show_ready)

    async def run(self) -> None:
        """Refresh limits and end attempts at silent endpoints."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._gate.run())
            group.create_task(self._refresh())
            group.create_task(self._tidy())

    async def _refresh(self) -> None:
        position = -1
        while True:
            # Thousands of workspaces are read only after a change of them.
            if position != self._parts.position():
                position = self._parts.position()
                self._gate.apply_workspaces(self._read_workspaces())
            self._gate.refresh()
            self._attempts.abandon_silent()
            self._flow.drop_stalled(self._limits.body_timeout_s)
            await asyncio.sleep(_REFRESH_S)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(_TIDY_S)
            self._parts.load.keep(self._fleet.list_names())

    def _read_workspaces(self) -> dict[str, WorkspaceBounds]:
        workspaces = self._parts.settings().workspaces
        return {
            name: WorkspaceBounds(row.share, row.queue)
            for name, row in workspaces.items()
        }

    async def _take_model_call(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        head = self._reader.read_head(request)
        body = await self._reader.read_body(request)
        read = read_model_call(
            head,
            request.path,
            body,
            self._limits.json_depth,
        )
        if isinstance(read, Failure):
            return answer_problem(read.failure(), head.request)
        call = read.unwrap()
        return await self._flow.take(f'model:{call.model}', call, request)

    async def _take_service_call(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        head = self._reader.read_head(request)
        body = await self._reader.read_body(request)
        services = self._parts.settings().services
        call = read_service_call(head, request, body, services)
        return await self._flow.take(f'service:{call.service}', call, request)

    async def _show_health(self, request: web.Request) -> web.Response:
        return web.Response(body=wire.encode({'alive': True}))

    async def _show_ready(self, request: web.Request) -> web.Response:
        problem = self._parts.unready()
        if problem:
            return answer_problem(problem)
        return web.Response(body=wire.encode({'ready': True}))
