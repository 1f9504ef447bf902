"""The platform's interface for duties: usage reports and orders for engines."""

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
    """Faults that a test switches on.

    ``silent`` leaves calls without an answer, ``busy`` answers 429, and with
    ``late_s`` calls get no answer and are carried out so many seconds later.
    """

    silent: bool = False
    busy: bool = False
    late_s: float = 0


@final
class DutyStandIn:
    """Takes usage reports and orders for the engines of a site.

    ``reports`` has the counts of each window, ``broken`` what must never
    happen.
    """

    def __init__(self, site: Site, boot_s: float = 0.2) -> None:
        """Have engines that are ordered boot for so long."""
        self.faults = DutyFaults()
        self.address = ''
        self.reports: dict[int, dict[str, int]] = {}
        self.broken: list[str] = []
        self.pools = EnginePools(site, boot_s)
        self._highest: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._late: set[asyncio.Task[None]] = set()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port; the site's engines are on demand."""
        self.pools.adopt()
        app = web.Application()
        app.router.add_post('/usage', self._take)
        app.router.add_post('/scale', self._take)
        served = await listen(app)
        self._runner = served.runner
        self.address = served.address

    async def stop(self) -> None:
        """Close the listener and end the engines that were ordered."""
        for task in tuple(self._late):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        await self.pools.stop()

    async def _take(self, request: web.Request) -> web.Response:
        body = await request.json()
        headers = dict(request.headers)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.busy:
            return web.Response(status=429)
        if self.faults.late_s:
            work = self._carry_out_late(request.path, headers, body)
            task = asyncio.create_task(work)
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(3600)
        return self._carry_out(request.path, headers, body)

    async def _carry_out_late(
        self,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> None:
        await asyncio.sleep(self.faults.late_s)
        self._carry_out(path, headers, body)

    def _carry_out(
        self,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> web.Response:
        subject = path + str(body.get('zone', ''))
        token = int(headers[_TOKEN])
        known = self._holders.setdefault((subject, token), headers[_HOLDER])
        if known != headers[_HOLDER]:
            self.broken.append(f'token {token} of two holders')
        if token < self._highest.get(subject, 0):
            return web.Response(status=409)
        self._highest[subject] = token
        if path == '/usage':
            return self._take_report(body)
        return self._take_order(body)

    def _take_report(self, body: dict[str, Any]) -> web.Response:
        counts = body['counts']
        if self.reports.setdefault(body['windowId'], counts) != counts:
            self.broken.append(f'window {body["windowId"]} has two reports')
        return web.json_response({})

    def _take_order(self, body: dict[str, Any]) -> web.Response:
        pool = EnginePool(body['zone'], spot=body.get('spot') is True)
        if self.pools.order(pool, body['desired']):
            return web.json_response({})
        error = {'error': 'none of that kind is to be had'}
        return web.json_response(error, status=409)
