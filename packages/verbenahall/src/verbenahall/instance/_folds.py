"""The folds of an instance; each applies every record in order."""

from typing import final

from verbenahall.authority import AuthorityState
from verbenahall.claims import Claims
from verbenahall.instance._foldables import (
    AuthorityFold,
    ClaimsFold,
    OrdersFold,
)
from verbenahall.orders import OrdersState
from verbenahall.settings import SettingsFold, SettingsState
from verbenahall.snapshots import Foldable


@final
class Folds:
    """The states that this instance computes from the log's records."""

    __slots__ = ('authority', 'claims', 'orders', 'settings')

    def __init__(self, claims: Claims) -> None:
        """Start before the log's first record."""
        self.settings = SettingsState()
        self.authority = AuthorityState()
        self.orders = OrdersState(self.authority)
        self.claims = claims

    def list_foldables(self) -> tuple[Foldable, ...]:
        """Return the folds as sections of snapshots, authority before orders.

        Whether an order is valid depends on the lease at the order's offset,
        so the authority must have applied the same prefix of the log.
        """
        return (
            SettingsFold(self.settings),
            AuthorityFold(self.authority),
            OrdersFold(self.orders),
            ClaimsFold(self.claims),
        )
