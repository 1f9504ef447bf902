"""The services of a catalog that are scaled."""

import dataclasses
from collections.abc import Mapping

from verbenahall.capacity import ServiceTraits
from verbenahall.catalog import Catalog, ScalingRules, Service


@dataclasses.dataclass(frozen=True, slots=True)
class ScaledService:
    """The rules of a service, and what its size depends on."""

    rules: ScalingRules
    traits: ServiceTraits


def list_scaled(catalog: Catalog | None) -> Mapping[str, ScaledService]:
    """Return the services with scaling rules whose endpoints are engines."""
    services = catalog.services.values() if catalog else ()
    return {
        service.name: ScaledService(
            service.scaling,
            ServiceTraits(
                service.engine.slots, _find_objective(catalog, service)
            ),
        )
        for service in services
        if service.scaling and service.engine
    }


def _find_objective(catalog: Catalog, service: Service) -> float:
    """Return the shortest objective of a service's routes, 0 without any."""
    objectives = (
        route.objective_s
        for routes in catalog.routes.values()
        for route in routes.values()
        if any(share.service == service.name for share in route.shares)
    )
    return min(objectives, default=0)
