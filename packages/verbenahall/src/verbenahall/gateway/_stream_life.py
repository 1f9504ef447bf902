"""For how long streams may be taken up, by the manifests' timeouts."""

import itertools
from typing import Final, final

from verbenahall.catalog import Catalog, CatalogState, RouteKind
from verbenahall.stream_versions import StreamLife

#: A caller may take a stream up as long as its own time limit lasts, which is
#: rarely longer than twice the timeout of the route.
_LIFE_FACTOR: Final = 2.0
_LIFE_MARGIN_S: Final = 2.0


@final
class ManifestLife:
    """The life of a stream by the catalog in force, and those before it."""

    __slots__ = ('_life', '_state')

    def __init__(self, state: CatalogState) -> None:
        """Follow the catalog of this state."""
        self._life = StreamLife()
        self._state = state

    def find_s(self, now: float) -> float | None:
        """Return how long after its beginning a stream may be taken up.

        None without a manifest.
        """
        catalog = self._state.catalog
        if catalog is not None and catalog.version != self._life.version:
            self._life.change(catalog.version, _compute_life_s(catalog), now)
        return self._life.find_s(now)


def _compute_life_s(catalog: Catalog) -> float:
    routes = itertools.chain.from_iterable(
        by_prefix.values() for by_prefix in catalog.routes.values()
    )
    longest_s = max(
        (route.timeout_s for route in routes if route.kind is RouteKind.STREAM),
        default=0,
    )
    return longest_s * _LIFE_FACTOR + _LIFE_MARGIN_S
