"""Runners of the applications that serve requests."""

import functools
from typing import Final

from aiohttp import web

from verbenahall.config import LimitsConfig
from verbenahall.front import ReadTimeouts, Runner
from verbenahall.gateway._core import Core

#: Longest line or header that the HTTP library accepts, in bytes; the
#: manifest's limit on all headers is lower and changes while connections are
#: open.
_MAX_LINE_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 67_108_864
_MAX_CONNECTIONS: Final = 3000
#: A new connection without a request is closed after this time, in seconds: the
#: usual idle timeout of callers and load balancers.
_FIRST_REQUEST_S: Final = 60.0


def make_runner(core: Core, app: web.Application) -> Runner:
    """Return a runner with the read timeouts of the manifest in force."""
    limits = LimitsConfig(
        body_bytes=MAX_BODY_BYTES,
        header_bytes=_MAX_LINE_BYTES,
        json_depth=0,
        connections=_MAX_CONNECTIONS,
        body_timeout_s=_FIRST_REQUEST_S,
        queue_per_priority=0,
        queue_per_workspace=0,
        in_flight_per_engine=0,
        default_deadline_s=0,
    )
    return Runner(app, limits, functools.partial(_find_read_timeouts, core))


def _find_read_timeouts(core: Core) -> ReadTimeouts:
    """Return the read timeouts of the manifest in force."""
    catalog = core.catalog.catalog
    if catalog is None:
        return ReadTimeouts(
            _FIRST_REQUEST_S, _FIRST_REQUEST_S, _FIRST_REQUEST_S
        )
    limits = catalog.limits
    return ReadTimeouts(
        first_request_s=max(_FIRST_REQUEST_S, limits.idle_timeout_s),
        head_s=limits.header_timeout_s,
        idle_s=limits.idle_timeout_s,
    )
