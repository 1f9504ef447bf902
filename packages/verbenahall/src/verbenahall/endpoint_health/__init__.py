"""Which endpoints an instance uses, by its own sends and their answers."""

from verbenahall.endpoint_health._endpoints import Endpoints
from verbenahall.endpoint_health._health import EndpointHealthTable
from verbenahall.endpoint_health._notices import EndpointNotices

__all__ = (
    'EndpointHealthTable',
    'EndpointNotices',
    'Endpoints',
)
