"""Runners of the applications that serve requests."""

import enum
import functools
from typing import Final, final

from aiohttp import web

from verbenahall.config import LimitsConfig
from verbenahall.front import ReadLimits, Runner
from verbenahall.gateway._core import Core

#: Longest line or header that the HTTP library accepts, in bytes; the
#: manifest's limit on all headers is lower and changes while connections are
#: open.
_MAX_LINE_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 67_108_864
_MAX_CONNECTIONS: Final = 3000
_BYTES_IN_MB: Final = 1_000_000
#: Descriptors for files, and for sockets that are no connections of clients.
_OTHER_DESCRIPTORS: Final = 200
#: A new connection without a request is closed after this time, in seconds: the
#: usual idle timeout of callers and load balancers.
_FIRST_REQUEST_S: Final = 60.0


@final
class ConnectionShare(enum.Enum):
    """Share of the process's sockets that a listener's clients may have.

    What is left of them is for connections to endpoints and to the store.
    """

    CALLERS = 0.625
    PEERS = 0.125
    READINESS = 0.01
    METRICS = 0.005


def make_runner(
    core: Core, app: web.Application, share: ConnectionShare
) -> Runner:
    """Return a runner with the read limits of the manifest in force."""
    settings = core.settings
    sockets = settings.descriptors - _OTHER_DESCRIPTORS
    limits = LimitsConfig(
        body_bytes=MAX_BODY_BYTES,
        header_bytes=_MAX_LINE_BYTES,
        json_depth=0,
        connections=min(
            _MAX_CONNECTIONS,
            max(1, int(sockets * share.value)),
        ),
        body_timeout_s=_FIRST_REQUEST_S,
        queue_per_priority=0,
        queue_per_workspace=0,
        in_flight_per_engine=0,
        default_deadline_s=0,
        memory_mb=settings.memory_bytes // _BYTES_IN_MB,
    )
    return Runner(
        app,
        limits,
        functools.partial(_find_read_limits, core),
        core.byte_budget.account,
        decompresses=False,
    )


def _find_read_limits(core: Core) -> ReadLimits:
    """Return the read limits of the manifest in force."""
    catalog = core.catalog.catalog
    if catalog is None:
        return ReadLimits(
            _FIRST_REQUEST_S,
            _FIRST_REQUEST_S,
            _FIRST_REQUEST_S,
            _MAX_LINE_BYTES,
        )
    limits = catalog.limits
    return ReadLimits(
        first_request_s=max(_FIRST_REQUEST_S, limits.idle_timeout_s),
        head_s=limits.header_timeout_s,
        idle_s=limits.idle_timeout_s,
        head_bytes=limits.header_bytes,
    )
