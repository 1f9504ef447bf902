"""Sections of snapshots for the folds of authority, orders and claims."""

from typing import Any, Final, final

from verbenahall import authority, clock, orders
from verbenahall.claims import Claims
from verbenahall.records import ORDERS_STREAM, Record

_POSITION: Final = 'position'
_GRANTS: Final = 'grants'
_ORDERS: Final = 'orders'
_IDENTITIES: Final = 'seen'
_MAX_IDENTITIES: Final = 4096


@final
class AuthorityFold:
    """The grants; applied before the orders, whose validity depends on them."""

    __slots__ = ('_state',)

    name: Final = 'authority'

    def __init__(self, state: authority.AuthorityState) -> None:
        """Fold into ``state``."""
        self._state = state

    def apply_record(self, record: Record) -> None:
        """Apply one record, read at the current time."""
        authority.apply_record(self._state, record, clock.monotonic())

    def dump(self) -> dict[str, Any]:
        """Return the grants."""
        return {
            _POSITION: self._state.position,
            _GRANTS: authority.export_state(self._state),
        }

    def load(self, section: dict[str, Any]) -> None:
        """Load grants; their leases start at the current time."""
        authority.restore_state(
            self._state,
            section[_GRANTS],
            section[_POSITION],
            clock.monotonic(),
        )


@final
class OrdersFold:
    """The latest valid order of each engine.

    An append whose answer was lost is retried while the first attempt may
    still wait in a socket of the log. The log then stores a second copy, maybe
    after newer orders, and that copy would restore an older target under a
    fencing token that is still valid. Copies are therefore dropped by their
    identity. The identities of several hours of batches are stored.
    """

    __slots__ = ('_identities', '_state')

    name: Final = 'orders'

    def __init__(self, state: orders.OrdersState) -> None:
        """Fold into ``state``."""
        self._state = state
        self._identities: dict[str, None] = {}

    def apply_record(self, record: Record) -> None:
        """Apply one record unless it is a copy of an earlier one."""
        if record.stream == ORDERS_STREAM:
            if record.identity in self._identities:
                return
            self._identities[record.identity] = None
            if len(self._identities) > _MAX_IDENTITIES:
                self._identities.pop(next(iter(self._identities)))
        orders.apply_record(self._state, record)

    def dump(self) -> dict[str, Any]:
        """Return the orders and the stored identities."""
        return {
            _POSITION: self._state.position,
            _IDENTITIES: list(self._identities),
            _ORDERS: orders.export_state(self._state),
        }

    def load(self, section: dict[str, Any]) -> None:
        """Load orders and identities."""
        self._identities = dict.fromkeys(section[_IDENTITIES])
        orders.restore_state(
            self._state,
            section[_ORDERS],
            section[_POSITION],
        )


@final
class ClaimsFold:
    """The keys of calls that run at most once."""

    __slots__ = ('_claims',)

    name: Final = 'claims'

    def __init__(self, claims: Claims) -> None:
        """Fold into ``claims``."""
        self._claims = claims

    def apply_record(self, record: Record) -> None:
        """Apply one record."""
        self._claims.apply_record(record)

    def dump(self) -> dict[str, Any]:
        """Return the stored keys."""
        return self._claims.dump()

    def load(self, section: dict[str, Any]) -> None:
        """Load keys; waiting claims are rejected."""
        self._claims.load(section)
