"""The catalog in force; its version never decreases."""

from typing import final

from verbenahall.authentication import KeyHistory, record_retired
from verbenahall.catalog._messages import Catalog


@final
class CatalogState:
    """The catalog in force, None before the first one.

    ``keys`` holds the API keys that are no longer in the catalog.
    """

    __slots__ = ('catalog', 'keys')

    def __init__(self) -> None:
        """Start without a catalog."""
        self.catalog: Catalog | None = None
        self.keys = KeyHistory()


def apply_catalog(state: CatalogState, catalog: Catalog) -> bool:
    """Put a catalog in force if it is newer; return whether it was.

    A read of the store may return an older record than one that was received
    before. With the older version, requests would be routed to a service that
    the operator has removed.
    """
    current = state.catalog
    if current is not None and catalog.version <= current.version:
        return False
    record_retired(state.keys, current.keys if current else None, catalog.keys)
    state.catalog = catalog
    return True
