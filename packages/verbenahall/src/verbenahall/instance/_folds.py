"""The folds of one instance, each fed with every record in order."""

from typing import final

from verbenahall import clock, metrics
from verbenahall.authority import AuthorityState
from verbenahall.authority import apply_record as apply_authority
from verbenahall.claims import Claims
from verbenahall.orders import OrdersState
from verbenahall.orders import apply_record as apply_orders
from verbenahall.records import Record
from verbenahall.settings import SettingsState
from verbenahall.settings import apply_record as apply_settings


@final
class Folds:
    """What this instance has computed from the log's records."""

    __slots__ = ('authority', 'claims', 'orders', 'settings')

    def __init__(self, claims: Claims) -> None:
        """Start before the log's first record."""
        self.settings = SettingsState()
        self.authority = AuthorityState()
        self.orders = OrdersState(self.authority)
        self.claims = claims

    def apply_record(self, record: Record) -> None:
        """Apply one record to all folds, authority before orders.

        Whether an order counts depends on the lease at its own offset, so
        the authority must have seen the same prefix of the log.
        """
        apply_settings(self.settings, record)
        apply_authority(self.authority, record, clock.monotonic())
        apply_orders(self.orders, record)
        self.claims.apply_record(record)
        metrics.SETTINGS_POSITION.set({}, self.settings.position)
