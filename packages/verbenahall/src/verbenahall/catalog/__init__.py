"""The catalog of the newest manifest, and the look-up of its routes."""

from verbenahall.catalog._lookup import find_route, pick_service
from verbenahall.catalog._messages import (
    Catalog,
    EngineTraits,
    Limits,
    Route,
    RouteKind,
    ScalingRules,
    Service,
    Share,
)
from verbenahall.catalog._state import CatalogState, apply_catalog

__all__ = (
    'Catalog',
    'CatalogState',
    'EngineTraits',
    'Limits',
    'Route',
    'RouteKind',
    'ScalingRules',
    'Service',
    'Share',
    'apply_catalog',
    'find_route',
    'pick_service',
)
