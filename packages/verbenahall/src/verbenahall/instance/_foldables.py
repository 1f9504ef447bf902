"""The folds of authority, orders and claims as sections of snapshots."""

from typing import Any, Final, final

from verbenahall import authority, clock, orders
from verbenahall.claims import Claims
from verbenahall.records import ORDERS_STREAM, Record

_POSITION: Final = 'position'
_GRANTS: Final = 'grants'
_ORDERS: Final = 'orders'
_SEEN: Final = 'seen'
_KEPT_IDENTITIES: Final = 4096


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
    """The latest valid order of each engine.

    An append whose answer was lost may be tried again while the first try
    still lies in a socket of the log, and land a second time after newer
    orders. It would then put an engine's older target back, under a token
    that still holds; so a second copy is dropped by its identity. As many
    identities are kept as batches are recorded in hours.
    """

    __slots__ = ('_seen', '_state')

    name: Final = 'orders'

    def __init__(self, state: orders.OrdersState) -> None:
        """Fold into ``state``."""
        self._state = state
        self._seen: dict[str, None] = {}

    def apply_record(self, record: Record) -> None:
        """Apply one record unless it is a second copy."""
        if record.stream == ORDERS_STREAM:
            if record.identity in self._seen:
                return
            self._seen[record.identity] = None
            if len(self._seen) > _KEPT_IDENTITIES:
                self._seen.pop(next(iter(self._seen)))
        orders.apply_record(self._state, record)

    def dump(self) -> dict[str, Any]:
        """Return the orders and the identities seen."""
        return {
            _POSITION: self._state.position,
            _SEEN: list(self._seen),
            _ORDERS: orders.export_state(self._state),
        }

    def load(self, section: dict[str, Any]) -> None:
        """Take orders over."""
        self._seen = dict.fromkeys(section[_SEEN])
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
