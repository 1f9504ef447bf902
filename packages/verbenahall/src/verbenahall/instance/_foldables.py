"""The folds of authority, orders and claims as sections of snapshots."""

from typing import Any, Final, final

from verbenahall import authority, clock, orders
from verbenahall.claims import Claims
from verbenahall.records import Record

_POSITION: Final = 'position'
_GRANTS: Final = 'grants'
_ORDERS: Final = 'orders'


@final
class AuthorityFold:
    """Grants; goes before the orders, which count under them."""

    __slots__ = ('_state',)

    name: Final = 'authority'

    def __init__(self, state: authority.AuthorityState) -> None:
        """Fold into ``state``."""
        self._state = state

    def apply_record(self, record: Record) -> None:
        """Apply one record, read now."""
        authority.apply_record(self._state, record, clock.monotonic())

    def dump(self) -> dict[str, Any]:
        """Return the grants."""
        return {
            _POSITION: self._state.position,
            _GRANTS: authority.export_state(self._state),
        }

    def load(self, section: dict[str, Any]) -> None:
        """Take grants over; their leases count from now."""
        authority.restore_state(
            self._state,
            section[_GRANTS],
            section[_POSITION],
            clock.monotonic(),
        )


@final
class OrdersFold:
    """The latest valid order of each engine."""

    __slots__ = ('_state',)

    name: Final = 'orders'

    def __init__(self, state: orders.OrdersState) -> None:
        """Fold into ``state``."""
        self._state = state

    def apply_record(self, record: Record) -> None:
        """Apply one record."""
        orders.apply_record(self._state, record)

    def dump(self) -> dict[str, Any]:
        """Return the orders."""
        return {
            _POSITION: self._state.position,
            _ORDERS: orders.export_state(self._state),
        }

    def load(self, section: dict[str, Any]) -> None:
        """Take orders over."""
        orders.restore_state(
            self._state,
            section[_ORDERS],
            section[_POSITION],
        )


@final
class ClaimsFold:
    """Keys of calls that ran at most once."""

    __slots__ = ('_claims',)

    name: Final = 'claims'

    def __init__(self, claims: Claims) -> None:
        """Fold into ``claims``."""
        self._claims = claims

    def apply_record(self, record: Record) -> None:
        """Apply one record."""
        self._claims.apply_record(record)

    def dump(self) -> dict[str, Any]:
        """Return the kept keys."""
        return self._claims.dump()

    def load(self, section: dict[str, Any]) -> None:
        """Take keys over; claims that wait are refused."""
        self._claims.load(section)
