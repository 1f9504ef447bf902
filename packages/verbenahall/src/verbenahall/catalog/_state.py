"""The catalog in force; it never goes back to a lower version."""

from typing import final

from verbenahall.authentication import KeyHistory, note_replaced
from verbenahall.catalog._messages import Catalog


@final
class CatalogState:
    """The catalog in force, None before the first one is known.

    ``keys`` remembers the API keys that it holds no more.
    """

    __slots__ = ('catalog', 'keys')

    def __init__(self) -> None:
        """Start without a catalog."""
        self.catalog: Catalog | None = None
        self.keys = KeyHistory()


def adopt(state: CatalogState, catalog: Catalog) -> bool:
    """Put a catalog in force, unless it is not newer.

    The store may answer a fresh read from before a record that was already
    followed; taking that older version would send requests back to a
    service that the operator has taken out.
    """
    known = state.catalog
    if known is not None and catalog.version <= known.version:
        return False
    note_replaced(state.keys, known.keys if known else None, catalog.keys)
    state.catalog = catalog
    return True
