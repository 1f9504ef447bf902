"""Finds the route and the workspace of a request."""

import dataclasses
from typing import Final, final

from aiohttp import web
from returns.maybe import Some
from returns.result import Failure, Result, Success

from verbenahall.authentication import (
    KeyRefresher,
    Workspace,
    authenticate,
    is_retired,
)
from verbenahall.catalog import Catalog, Route, find_route
from verbenahall.errors import ErrorKind, Problem
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.platform import RequestHead

#: Retry-After before the first manifest was read, in seconds.
_NOT_READY_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The route and the workspace of a request, by one manifest."""

    catalog: Catalog
    route: Route
    workspace: Workspace | None


@final
class RequestAdmitter:
    """Admits requests by the newest manifest that was read."""

    __slots__ = ('_core', '_key_refresher')

    def __init__(self, core: Core, key_refresher: KeyRefresher) -> None:
        """Refresh the keys from the store before an unknown one is refused."""
        self._core = core
        self._key_refresher = key_refresher

    async def admit(
        self,
        request: web.Request,
        head: RequestHead,
    ) -> Result[Admission, Problem]:
        """Return the route and the workspace, or why the request is refused."""
        found = _find_admission(self._core, request, head)
        if _may_be_stale(self._core, head, found):
            if await self._key_refresher.refresh():
                found = _find_admission(self._core, request, head)
        return found


def _find_admission(
    core: Core,
    request: web.Request,
    head: RequestHead,
) -> Result[Admission, Problem]:
    """Find the route of a request and the workspace of its API key."""
    catalog = core.catalog.catalog
    if catalog is None or not core.ready:
        return Failure(
            Problem(
                ErrorKind.NOT_READY,
                'the manifest was not read yet',
                retry_after_s=_NOT_READY_S,
            ),
        )
    path, _, _ = request.raw_path.partition('?')
    match find_route(catalog, read_host(request), path):
        case Some(route):
            workspace = authenticate(
                catalog.keys, head.key, public=route.public
            )
            return workspace.map(lambda found: Admission(catalog, route, found))
        case _:
            return Failure(
                Problem(ErrorKind.NOT_FOUND, 'no route has this path'),
            )


def _may_be_stale(
    core: Core,
    head: RequestHead,
    found: Result[Admission, Problem],
) -> bool:
    """Whether a newer manifest may hold the key that was refused."""
    if isinstance(found, Success) or not head.key:
        return False
    refused = found.failure().kind is ErrorKind.UNAUTHORIZED
    return refused and not is_retired(core.catalog.keys, head.key)


def find_workspace(
    core: Core,
    call: Call,
) -> Result[Workspace | None, Problem]:
    """Return the workspace of a call by the current manifest.

    Since the call was accepted, its API key may have been revoked, which gives
    a failure, or moved to another workspace.
    """
    catalog = core.catalog.catalog
    if catalog is None or catalog.version == call.version:
        return Success(call.workspace)
    return authenticate(catalog.keys, call.head.key, public=call.route.public)


def read_host(request: web.Request) -> str:
    """Return the host of the Host header in lower case, without its port."""
    host, _, _ = request.headers.get('Host', '').partition(':')
    return host.lower()
