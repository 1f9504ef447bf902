"""The administration API over HTTP; problems are raised as ``ProblemError``.

The front that serves the routes turns them into answers, as for callers.
"""

import math
from typing import Any, Final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import clock, wire
from verbenahall.admin._credentials import Reader, find_reader
from verbenahall.admin._messages import ReadinessSource, Status
from verbenahall.admin._views import (
    find_lines,
    view_decisions,
    view_history,
    view_settings,
)
from verbenahall.config import AdminConfig
from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.log import LogFollower
from verbenahall.settings import SettingsState

_JSON: Final = 'application/json'
_EXPLAINED: Final = ('request', 'engine')


class AdminApi:
    """Answers ``/admin/v1``; reads only, since settings are published."""

    __slots__ = (
        '_config',
        '_follower',
        '_identity',
        '_readiness',
        '_settings',
    )

    def __init__(
        self,
        identity: tuple[str, str, str],
        config: AdminConfig,
        settings: SettingsState,
        follower: LogFollower,
        readiness: ReadinessSource,
    ) -> None:
        """``identity`` is the name, data centre and incarnation."""
        self._identity = identity
        self._config = config
        self._settings = settings
        self._follower = follower
        self._readiness = readiness

    def add_routes(self, app: web.Application) -> None:
        """Serve the API's routes."""
        views = {
            'status': self._show_status,
            'settings': self._show_settings,
            'history': self._show_history,
            'explain': self._explain,
        }
        for name, view in views.items():
            app.router.add_get(f'/admin/v1/{name}', view)

    def read_status(self) -> Status:
        """Return the instance's status at this moment."""
        name, data_centre, incarnation = self._identity
        readiness = self._readiness()
        age_s = clock.monotonic() - self._follower.last_contact
        return Status(
            name=name,
            data_centre=data_centre,
            incarnation=incarnation,
            ready=readiness.ready,
            reason=readiness.reason,
            settings_position=self._settings.position,
            log_position=self._follower.position,
            log_head=self._follower.head,
            settings_age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )

    def _authenticate(self, request: web.Request) -> Reader:
        authorization = request.headers.get('Authorization', '')
        return _require(
            find_reader(authorization, self._config.credentials),
        )

    async def _show_status(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        return _answer(self.read_status())

    async def _show_settings(self, request: web.Request) -> web.Response:
        reader = self._authenticate(request)
        return _answer(view_settings(self._settings, reader))

    async def _show_history(self, request: web.Request) -> web.Response:
        reader = self._authenticate(request)
        path = request.query.get('path', reader.team)
        if not reader.may_read(path):
            complaint = f'team {reader.team} may not read {path!r}'
            raise ProblemError(Problem(ErrorKind.FORBIDDEN, complaint))
        return _answer(view_history(self._settings, reader, path))

    async def _explain(self, request: web.Request) -> web.Response:
        reader = self._authenticate(request)
        wanted = [
            (field, request.query[field])
            for field in _EXPLAINED
            if field in request.query
        ]
        if not wanted:
            complaint = 'give request=... or engine=...'
            raise ProblemError(Problem(ErrorKind.BAD_REQUEST, complaint))
        lines = find_lines(self._settings, *wanted[0])
        seen = view_decisions(self._settings, reader, lines)
        return _answer({'decisions': seen})


def _require(outcome: Result[Reader, Problem]) -> Reader:
    if isinstance(outcome, Failure):
        raise ProblemError(outcome.failure())
    return outcome.unwrap()


def _answer(view: Any) -> web.Response:
    return web.Response(body=wire.encode(view), content_type=_JSON)
