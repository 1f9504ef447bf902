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
    """Put a catalog in force if it is newer; return whether it is.

    A fresh read of the store may return an older record than one that was
    followed. The older version would route requests to a service that the
    operator has removed.
    """
    known = state.catalog
    if known is not None and catalog.version <= known.version:
        return False
    record_retired(state.keys, known.keys if known else None, catalog.keys)
    state.catalog = catalog
    return True
