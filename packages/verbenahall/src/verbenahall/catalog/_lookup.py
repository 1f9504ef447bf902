"""Finds the route and the service of a request's host and path."""

import random

from returns.maybe import Maybe, Nothing, Some

from verbenahall.catalog._messages import Catalog, Route


def find_route(catalog: Catalog, host: str, path: str) -> Maybe[Route]:
    """Return the host's route with the longest matching path prefix.

    The prefixes of the path are looked up, longest first, so the cost does
    not depend on the number of routes.
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
    """Return a random service of the route, chosen by weight.

    The name is empty if no service has a weight.
    """
    if not route.shares:
        return ''
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
