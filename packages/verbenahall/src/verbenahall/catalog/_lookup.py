"""The way from a request's host and path to a service."""

import random

from returns.maybe import Maybe, Nothing, Some

from verbenahall.catalog._messages import Catalog, Route


def find_route(catalog: Catalog, host: str, path: str) -> Maybe[Route]:
    """Return the host's route with the longest prefix that begins the path.

    The path's own prefixes are tried, longest first, so the cost does not
    grow with the number of routes.
    """
    routes = catalog.routes.get(host)
    if routes is None:
        return Nothing
    end = path.rfind('/')
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return Some(route)
        end = path.rfind('/', 0, end)
    return Nothing


def pick_service(route: Route, rng: random.Random) -> str:
    """Draw one of the route's services by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
