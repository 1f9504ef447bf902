"""Stand-in for the platform's instance list, served with a delay.

``python -m verbenahall_standins.registry --port 0 --lag 0.5`` shows each
change half a second late.
"""

import argparse
import bisect
from http import HTTPStatus
from typing import Any, Final

from aiohttp import hdrs, web

from verbenahall import clock
from verbenahall_standins import answers, faults, serving

#: Seconds until a change becomes visible.
_LAG_S: Final = 0.5


class InstanceList:
    """All versions of the list, each with the time of its change."""

    __slots__ = ('_times', '_versions')

    def __init__(self) -> None:
        """Start with version 0, which is empty."""
        self._times: list[float] = [float('-inf')]
        self._versions: list[dict[str, Any]] = [{}]

    def apply_entry(self, name: str, entry: Any, now: float) -> None:
        """Add or replace an entry; ``None`` removes it."""
        entries = dict(self._versions[-1])
        entries.pop(name, None)
        if entry is not None:
            entries[name] = entry
        self._times.append(now)
        self._versions.append(entries)

    def find_entry(self, name: str) -> dict[str, Any]:
        """Return the current entry without delay, or an empty mapping."""
        return self._versions[-1].get(name, {})

    def get_version_at(self, at: float) -> dict[str, Any]:
        """Return the version that was current at a monotonic time."""
        version = bisect.bisect_right(self._times, at) - 1
        entries = list(self._versions[version].values())
        return {'version': version, 'entries': entries}


class ListService:
    """HTTP routes of the instance list."""

    __slots__ = ('_faults', '_frozen_at', '_lag_s', '_list')

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with an empty list."""
        self._list = InstanceList()
        self._lag_s = options.lag
        self._faults = faults.Faults()
        self._faults.on_change = self._update_frozen_at
        self._frozen_at: float | None = None

    def add_routes(self, app: web.Application) -> None:
        """Register the list's routes."""
        app.router.add_get('/list', self._get_list)
        app.router.add_get('/record', self._get_record)
        app.router.add_post('/register', self._register)
        app.router.add_post('/leave', self._mark_leaving)
        app.router.add_post('/remove', self._remove)
        faults.add_fault_routes(app, self._faults)

    def _update_frozen_at(self) -> None:
        if self._faults.find('freeze') is None:
            self._frozen_at = None
        elif self._frozen_at is None:
            self._frozen_at = clock.monotonic() - self._lag_s

    async def _get_list(self, request: web.Request) -> web.Response:
        at = clock.monotonic() - self._lag_s
        if self._frozen_at is not None:
            at = self._frozen_at
        shown = self._list.get_version_at(at)
        version = shown['version']
        tag = f'"{version}"'
        if request.headers.get(hdrs.IF_NONE_MATCH) == tag:
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        response = answers.build_answer(shown)
        response.headers[hdrs.ETAG] = tag
        return response

    async def _get_record(self, request: web.Request) -> web.Response:
        return answers.build_answer(
            self._list.get_version_at(clock.monotonic())
        )

    async def _register(self, request: web.Request) -> web.Response:
        entry = await request.json()
        defaults = {'service': '', 'checks_fencing': True, 'state': 'live'}
        return self._apply_entry(entry['name'], {**defaults, **entry})

    async def _mark_leaving(self, request: web.Request) -> web.Response:
        name = (await request.json())['name']
        found = self._list.find_entry(name)
        return self._apply_entry(name, {**found, 'state': 'leaving'})

    async def _remove(self, request: web.Request) -> web.Response:
        name = (await request.json())['name']
        return self._apply_entry(name, None)

    def _apply_entry(self, name: str, entry: Any) -> web.Response:
        self._list.apply_entry(name, entry, clock.monotonic())
        return answers.build_answer({})


def build(options: argparse.Namespace) -> web.Application:
    """Build the web application."""
    app = serving.new_application()
    ListService(options).add_routes(app)
    return app


def main() -> None:
    """Run the instance list until SIGTERM."""
    parser = serving.new_parser('Instance list stand-in')
    parser.add_argument('--lag', type=float, default=_LAG_S)
    serving.serve(build, parser.parse_args())


if __name__ == '__main__':
    main()
