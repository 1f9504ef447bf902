"""HTTP interface for callers."""

from verbenahall.front._answers import build_error_response
from verbenahall.front._bodies import read_request_body
from verbenahall.front._connections import (
    Connection,
    Runner,
    close_after_response,
    has_peer_closed,
    stop_lingering,
)
from verbenahall.front._dependencies import (
    Adapters,
    FrontDependencies,
    PeerAccess,
)
from verbenahall.front._endpoints import Sessions
from verbenahall.front._engines import EngineAdapter
from verbenahall.front._listener_state import ReadLimits
from verbenahall.front._server import make_application, make_session
from verbenahall.front._services import ServiceAdapter
from verbenahall.front._shell import Front

__all__ = (
    'Adapters',
    'Connection',
    'EngineAdapter',
    'Front',
    'FrontDependencies',
    'PeerAccess',
    'ReadLimits',
    'Runner',
    'ServiceAdapter',
    'Sessions',
    'build_error_response',
    'close_after_response',
    'has_peer_closed',
    'make_application',
    'make_session',
    'read_request_body',
    'stop_lingering',
)
