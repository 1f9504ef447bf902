"""The administration API over HTTP.

Problems are raised as ``ProblemError``. The runner of the front converts them
into error responses, as it does for callers.
"""

import math
from typing import Any, Final

from aiohttp import web
from returns.result import Failure, Result

from verbenahall import clock, wire
from verbenahall.admin._credentials import Principal, find_principal
from verbenahall.admin._messages import ReadinessSource, Status
from verbenahall.admin._views import (
    collect_decisions,
    view_decisions,
    view_history,
    view_settings,
)
from verbenahall.config import AdminConfig
from verbenahall.errors import ErrorKind, Problem, ProblemError
from verbenahall.log import LogFollower
from verbenahall.settings import SettingsState

_JSON: Final = 'application/json'
_EXPLAIN_FIELDS: Final = ('request', 'engine')


class AdminApi:
    """Serves ``/admin/v1``, read-only: settings are changed via the log."""

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
        """Add the routes of the API."""
        views = {
            'status': self._show_status,
            'settings': self._show_settings,
            'history': self._show_history,
            'explain': self._explain,
        }
        for name, view in views.items():
            app.router.add_get(f'/admin/v1/{name}', view)

    def read_status(self) -> Status:
        """Return the instance's current status."""
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

    def _authenticate(self, request: web.Request) -> Principal:
        authorization = request.headers.get('Authorization', '')
        return _unwrap(
            find_principal(authorization, self._config.credentials),
        )

    async def _show_status(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        return _build_response(self.read_status())

    async def _show_settings(self, request: web.Request) -> web.Response:
        principal = self._authenticate(request)
        return _build_response(view_settings(self._settings, principal))

    async def _show_history(self, request: web.Request) -> web.Response:
        principal = self._authenticate(request)
        path = request.query.get('path', principal.team)
        if not principal.may_read(path):
            message = f'team {principal.team} may not read {path!r}'
            raise ProblemError(Problem(ErrorKind.FORBIDDEN, message))
        return _build_response(view_history(self._settings, principal, path))

    async def _explain(self, request: web.Request) -> web.Response:
        principal = self._authenticate(request)
        criteria = [
            (field, request.query[field])
            for field in _EXPLAIN_FIELDS
            if field in request.query
        ]
        if not criteria:
            message = 'the parameter "request" or "engine" is required'
            raise ProblemError(Problem(ErrorKind.BAD_REQUEST, message))
        decisions = collect_decisions(self._settings, *criteria[0])
        visible = view_decisions(self._settings, principal, decisions)
        return _build_response({'decisions': visible})


def _unwrap(outcome: Result[Principal, Problem]) -> Principal:
    if isinstance(outcome, Failure):
        raise ProblemError(outcome.failure())
    return outcome.unwrap()


def _build_response(view: Any) -> web.Response:
    return web.Response(body=wire.encode(view), content_type=_JSON)
