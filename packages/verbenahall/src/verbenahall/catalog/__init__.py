"""The catalog of the newest manifest, and the look-up of its routes."""

from verbenahall.catalog._lookup import find_route, pick_service
from verbenahall.catalog._messages import (
    Catalog,
    EngineTraits,
    Kind,
    Limits,
    Route,
    ScalingRules,
    Service,
    Share,
)
from verbenahall.catalog._state import CatalogState, adopt

__all__ = (
    'Catalog',
    'CatalogState',
    'EngineTraits',
    'Kind',
    'Limits',
    'Route',
    'ScalingRules',
    'Service',
    'Share',
    'adopt',
    'find_route',
    'pick_service',
)
