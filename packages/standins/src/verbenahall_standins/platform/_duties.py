"""The platform's API for duties: usage reports and orders for engines."""

import asyncio
import dataclasses
from typing import Any, Final, final

from aiohttp import web

from verbenahall_standins.platform._pools import EnginePool, EnginePools
from verbenahall_standins.platform._serving import listen
from verbenahall_standins.platform._site import Site

_TOKEN: Final = 'X-Verbenahall-Fence-Token'
_HOLDER: Final = 'X-Verbenahall-Duty-Holder'


@dataclasses.dataclass(slots=True)
class DutyFaults:
    """Faults that a test sets.

    ``silent`` leaves calls unanswered and ``busy`` answers 429. If ``late_s``
    is not 0, calls are applied that many seconds later and never answered.
    """

    silent: bool = False
    busy: bool = False
    late_s: float = 0


@final
class DutyStandIn:
    """Accepts usage reports and orders for the engines of a site.

    ``reports`` holds the counts of each window, ``violations`` a line for each
    violated invariant.
    """

    def __init__(self, site: Site, boot_s: float = 0.2) -> None:
        """Prepare the API; ordered engines boot for ``boot_s`` seconds."""
        self.faults = DutyFaults()
        self.address = ''
        self.reports: dict[int, dict[str, int]] = {}
        self.violations: list[str] = []
        self.pools = EnginePools(site, boot_s)
        self._max_tokens: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port; bill the site's engines as on demand."""
        self.pools.bill_site_engines()
        app = web.Application()
        app.router.add_post('/usage', self._handle_call)
        app.router.add_post('/scale', self._handle_call)
        running = await listen(app)
        self._runner = running.runner
        self.address = running.address

    async def stop(self) -> None:
        """Close the listener and stop the ordered engines."""
        for task in tuple(self._late_tasks):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        await self.pools.stop()

    async def _handle_call(self, request: web.Request) -> web.Response:
        body = await request.json()
        headers = dict(request.headers)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.busy:
            return web.Response(status=429)
        if self.faults.late_s:
            work = self._apply_call_late(request.path, headers, body)
            task = asyncio.create_task(work)
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            await asyncio.sleep(3600)
        return self._apply_call(request.path, headers, body)

    async def _apply_call_late(
        self,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> None:
        await asyncio.sleep(self.faults.late_s)
        self._apply_call(path, headers, body)

    def _apply_call(
        self,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> web.Response:
        duty = path + str(body.get('zone', ''))
        token = int(headers[_TOKEN])
        holder = self._holders.setdefault((duty, token), headers[_HOLDER])
        if holder != headers[_HOLDER]:
            self.violations.append(f'token {token} of two holders')
        if token < self._max_tokens.get(duty, 0):
            return web.Response(status=409)
        self._max_tokens[duty] = token
        if path == '/usage':
            return self._accept_report(body)
        return self._accept_order(body)

    def _accept_report(self, body: dict[str, Any]) -> web.Response:
        counts = body['counts']
        if self.reports.setdefault(body['windowId'], counts) != counts:
            self.violations.append(f'window {body["windowId"]} has two reports')
        return web.json_response({})

    def _accept_order(self, body: dict[str, Any]) -> web.Response:
        pool = EnginePool(body['zone'], spot=body.get('spot') is True)
        if self.pools.order(pool, body['desired']):
            return web.json_response({})
        error = {'error': 'no engine of this kind is available'}
        return web.json_response(error, status=409)
