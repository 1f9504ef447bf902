"""Orders engines to change to their planned roles.

Only the instance that holds the lease on the duty sends orders.
"""

import asyncio
import dataclasses
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.catalog import EngineTraits
from verbenahall.fleet import Role
from verbenahall.gateway._core import Core
from verbenahall.gateway._duty_leases import find_separation_s, make_lease
from verbenahall.peers import find_rank
from verbenahall.placement import RoleChange, RoleObserver, RolePlanner
from verbenahall.platform import RoleOrder
from verbenahall.roster import Entry, format_incarnation

#: Duty whose lease an instance must hold to order role changes.
_DUTY: Final = 'roles'
#: Interval at which roles are planned, in seconds.
_CHECK_INTERVAL_S: Final = 0.3
#: Roles are planned only if no engine has joined for this long, in seconds:
#: engines that start together are listed one by one. After the loss of an
#: engine roles are planned at once.
_JOIN_SETTLE_S: Final = 1.5
#: Time after its loss in which an engine is expected to return by itself, in
#: seconds. A crashed engine is back after some seconds, and a role change takes
#: three.
_RETURN_S: Final = 8.0
#: Time for which an instance leaves needed changes to the instances ranked
#: before it, in seconds for each of them, so that usually one instance makes
#: the calls. A role change takes about three seconds to appear in the list.
_RANK_DELAY_S: Final = 5.0
#: Time that a role change may take to appear in the list, in seconds, beyond
#: the duration of the change itself.
_LISTING_DELAY_S: Final = 1.0
#: Duration of the lease, in seconds; the orders of one round are sent within
#: it. A report and an order take some milliseconds each. The lease is checked
#: before each order, so slow calls end the round.
_LEASE_S: Final = 6.0
#: Time that is added to the operators' bound on the separation of two holders'
#: orders, in seconds, to cover orders in transit.
_IN_TRANSIT_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _SentOrder:
    """The role that an engine was ordered to take, and the order's time."""

    role: Role
    sent_at: float


@final
class RoleController:
    """Plans the roles of each engine service and orders the changes."""

    __slots__ = (
        '_core',
        '_lease',
        '_separation_s',
        '_pending',
        '_changes_needed_at',
        '_joins',
        '_last_reachable',
        '_role_observer',
        '_planner',
    )

    def __init__(self, core: Core) -> None:
        """Start without orders and without known engines."""
        self._core = core
        self._separation_s = find_separation_s(core)
        self._lease = make_lease(core, _DUTY, _LEASE_S)
        #: The last order to each engine, by its name and incarnation.
        self._pending: dict[tuple[str, int], _SentOrder] = {}
        self._changes_needed_at: float | None = None
        self._role_observer = RoleObserver()
        self._planner = RolePlanner(core.placement)
        #: Time at which each engine was last reachable, by service and name.
        self._last_reachable: dict[str, dict[str, float]] = {}
        #: Last list of engine names and time of the last join, by service.
        self._joins: dict[str, tuple[frozenset[str], float]] = {}

    async def run(self) -> None:
        """Plan roles and order changes until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self._lease.restore()
            catalog = self._core.catalog.catalog
            if catalog is None:
                continue
            changes = [
                change
                for service in catalog.services.values()
                if service.engine
                for change in self._plan(service.name, service.engine)
            ]
            if changes and self._may_order():
                await self._order_all(changes)
            elif not changes:
                self._changes_needed_at = None
                await self._release_when_idle()

    def changing(self) -> list[str]:
        """Return the names of engines whose ordered change is pending."""
        now = self._core.now()
        return [
            name
            for name, born in self._pending
            if self._is_pending(name, born, now)
        ]

    def _plan(self, service: str, traits: EngineTraits) -> Sequence[RoleChange]:
        core = self._core
        if core.reach.is_lost(service):
            # Another instance has to order; the lease is released.
            return ()
        now = core.now()
        listed = list(core.roster.list_live(service, now))
        if self._role_observer.update(service, listed):
            # Another instance is ordering changes. A large fleet needs several
            # rounds; unless the delay starts anew here, one instance after the
            # other would start as well and read the lease three times a second.
            self._changes_needed_at = None
        engines = [
            entry
            for entry in listed
            if core.endpoint_health.is_reachable(entry.name, now)
        ]
        if self._has_recent_joins(service, engines, now):
            return ()
        if any(
            self._is_pending(entry.name, entry.born, now) for entry in listed
        ):
            return ()
        lost = self._count_lost(service, engines, now)
        # An engine that accepts only a few requests a second can't fill a role.
        unthrottled = [
            entry
            for entry in engines
            if not core.rates.is_limited(format_incarnation(entry))
        ]
        return self._planner.plan(unthrottled or engines, traits, lost, now)

    def _count_lost(
        self,
        service: str,
        engines: Sequence[Entry],
        now: float,
    ) -> int:
        """Return how many engines were lost lately and had not left."""
        last_reachable = self._last_reachable.setdefault(service, {})
        for engine in engines:
            last_reachable[engine.name] = now
        for name, reachable_at in tuple(last_reachable.items()):
            if now - reachable_at > _RETURN_S or self._core.roster.is_leaving(
                name
            ):
                last_reachable.pop(name)
        return len(last_reachable) - len(engines)

    def _has_recent_joins(
        self,
        service: str,
        engines: Sequence[Entry],
        now: float,
    ) -> bool:
        """Whether engines have joined lately, so that more may follow."""
        names = frozenset(engine.name for engine in engines)
        known, joined_at = self._joins.get(service, (frozenset(), now))
        if names - known:
            joined_at = now
        self._joins[service] = (names, joined_at)
        return now - joined_at < _JOIN_SETTLE_S

    def _is_pending(self, name: str, born: int, now: float) -> bool:
        """Whether an order to this incarnation of an engine is pending."""
        sent = self._pending.get((name, born))
        listing = self._core.roster.listings.get(name)
        if sent is None or listing is None or listing.entry.born != born:
            return False
        return listing.entry.role is not sent.role and now < self._find_expiry(
            sent
        )

    def _find_expiry(self, sent: _SentOrder) -> float:
        """Return when an order stops being pending if no change appears."""
        catalog = self._core.catalog.catalog
        services = catalog.services.values() if catalog else ()
        changes = [
            service.engine.role_change_s
            for service in services
            if service.engine
        ]
        return sent.sent_at + max(changes, default=0) + _LISTING_DELAY_S

    async def _release_when_idle(self) -> None:
        """Release the lease once none of its orders can be in transit."""
        last_at = max(
            (order.sent_at for order in self._pending.values()),
            default=None,
        )
        if last_at is None or self._core.now() - last_at < self._separation_s:
            return
        self._pending.clear()
        await self._lease.release()

    def _may_order(self) -> bool:
        """Whether the instances ranked before this one had time to order."""
        now = self._core.now()
        if self._changes_needed_at is None:
            self._changes_needed_at = now
        rank = find_rank(self._core.peer_table, _DUTY, now)
        return now - self._changes_needed_at >= rank * _RANK_DELAY_S

    async def _order_all(self, changes: Sequence[RoleChange]) -> None:
        token = await self._lease.acquire()
        if token is None:
            return
        for change in changes:
            if self._lease.token() != token:
                return
            await self._order(change, token)

    async def _order(self, change: RoleChange, token: int) -> None:
        engine = change.engine
        if not _is_live(self._core, engine):
            return
        report = (await self._core.engines.fetch_report(engine)).value_or(None)
        if report is None or report.changing or report.role is change.role:
            return
        if self._lease.token() != token or not _is_live(self._core, engine):
            return
        order = RoleOrder(change.role, self._lease.holder, token, report.orders)
        now = self._core.now()
        self._pending[engine.name, engine.born] = _SentOrder(change.role, now)
        status = await self._core.engines.send_order(engine, order)
        journal.write_decision(
            'role_order',
            endpoint=engine.name,
            role=change.role.value,
            reason=change.reason,
            token=token,
            orders=report.orders,
            status=status,
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            self._lease.discard_token()
        if status in {HTTPStatus.ACCEPTED, HTTPStatus.OK}:
            metrics.ROLE_CHANGES.inc({'role': change.role.value})


def _is_live(core: Core, engine: Entry) -> bool:
    """Whether an engine has not left since the roles were planned."""
    return core.roster.is_live(engine.name, core.now())
