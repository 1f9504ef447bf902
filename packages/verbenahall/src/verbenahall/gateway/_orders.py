"""Brings the engines to their planned roles, one holder at a time."""

import asyncio
import dataclasses
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.fleet import Role
from verbenahall.gateway._core import Core
from verbenahall.gateway._duty_leases import find_apart_s, make_lease
from verbenahall.gateway._hooks import name_start
from verbenahall.peers import find_rank
from verbenahall.placement import RoleChange, plan_roles
from verbenahall.platform import RoleOrder
from verbenahall.roster import Entry

#: The name under which the lease on roles is kept.
_DUTY: Final = 'roles'
#: How often the roles are looked at, in seconds.
_LOOK_S: Final = 0.3
#: No engine must have joined for this long, in seconds: engines that start
#: together are listed one by one. Engines that are lost are made up for at
#: once.
_STILL_S: Final = 1.5
#: An engine that was lost is thought to come back for this long, in seconds.
#: A crashed one is back after some seconds, and a change takes three.
_LOST_S: Final = 8.0
#: Each instance leaves the need for orders to those that stand before it for
#: this long without a change, in seconds, so that usually one of them makes
#: the calls. A change takes some three seconds to show.
_TURN_S: Final = 5.0
#: How long an order may take until it shows in the list, in seconds, beyond
#: the time of the change itself.
_SHOWN_S: Final = 1.0
#: Time for the orders of one look, in seconds. Report and order take some
#: milliseconds each; the lease is looked at before each order, so that slow
#: ones end the look.
_LEASE_S: Final = 6.0
#: How much longer than the operators' bound two holders' orders are kept
#: apart, in seconds, for what they were under way.
_APART_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """An order that was sent, and when."""

    role: Role
    sent_at: float


@final
class _Progress:
    """Notices that engines have changed their roles."""

    __slots__ = ('_roles',)

    def __init__(self) -> None:
        """Start knowing no roles."""
        self._roles: dict[str, dict[str, Role | None]] = {}

    def note(self, service: str, listed: Sequence[Entry]) -> bool:
        """Take the engines as listed; True if one has another role now."""
        before = self._roles.get(service, {})
        now = {engine.name: engine.role for engine in listed}
        self._roles[service] = now
        known = before.keys() & now.keys()
        return any(before[name] is not now[name] for name in known)


@final
class RoleKeeper:
    """Looks at the roles of each engine service and orders changes."""

    __slots__ = (
        '_core',
        '_lease',
        '_apart_s',
        '_pending',
        '_needed_at',
        '_seen',
        '_present',
        '_progress',
    )

    def __init__(self, core: Core) -> None:
        """Order in turn with the peers that are heard."""
        self._core = core
        self._apart_s = find_apart_s(core)
        self._lease = make_lease(core, _DUTY, _LEASE_S)
        #: The last order to an engine, by its name and start.
        self._pending: dict[tuple[str, int], _Sent] = {}
        self._needed_at: float | None = None
        self._progress = _Progress()
        #: When each engine of a service could last be used.
        self._present: dict[str, dict[str, float]] = {}
        #: The engines of a service as last seen, and when one had joined.
        self._seen: dict[str, tuple[frozenset[str], float]] = {}

    async def run(self) -> None:
        """Look and order until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            catalog = self._core.catalog.catalog
            if catalog is None:
                continue
            changes = [
                change
                for service in catalog.services.values()
                if service.engine
                for change in self._plan(service.name)
            ]
            if changes and self._is_turn():
                await self._order_all(changes)
            elif not changes:
                self._needed_at = None
                await self._release_when_idle()

    def changing(self) -> list[str]:
        """Return the engines that were ordered to change and have not yet."""
        now = self._core.now()
        return [
            name
            for name, born in self._pending
            if self._is_open(name, born, now)
        ]

    def _plan(self, service: str) -> Sequence[RoleChange]:
        core = self._core
        now = core.now()
        listed = list(core.roster.live(service, now))
        if self._progress.note(service, listed):
            # Somebody else is at work. Roles of a large fleet take several
            # rounds; without this, one instance after the other joins in and
            # reads the lease three times a second.
            self._needed_at = None
        engines = [
            one for one in listed if core.standings.reachable(one.name, now)
        ]
        if self._is_growing(service, engines, now):
            return ()
        if any(self._is_open(one.name, one.born, now) for one in listed):
            return ()
        busy = {
            engine.name: core.placement.ledger.totals(engine.name).streams
            for engine in engines
        }
        away = self._count_away(service, engines, now)
        # An engine that takes some requests a second fills no role.
        able = [
            one for one in engines if not core.rates.is_limited(name_start(one))
        ]
        return plan_roles(able or engines, busy, away)

    def _count_away(
        self,
        service: str,
        engines: Sequence[Entry],
        now: float,
    ) -> int:
        """Return how many engines were lost lately without leaving."""
        seen = self._present.setdefault(service, {})
        for engine in engines:
            seen[engine.name] = now
        for name, seen_at in tuple(seen.items()):
            if now - seen_at > _LOST_S or self._core.roster.has_left(name):
                seen.pop(name)
        return len(seen) - len(engines)

    def _is_growing(
        self,
        service: str,
        engines: Sequence[Entry],
        now: float,
    ) -> bool:
        """Whether engines have joined lately, and more may follow."""
        names = frozenset(engine.name for engine in engines)
        known, joined_at = self._seen.get(service, (frozenset(), now))
        if names - known:
            joined_at = now
        self._seen[service] = (names, joined_at)
        return now - joined_at < _STILL_S

    def _is_open(self, name: str, born: int, now: float) -> bool:
        """Whether an order to this start of an engine is under way."""
        sent = self._pending.get((name, born))
        seat = self._core.roster.seats.get(name)
        if sent is None or seat is None or seat.entry.born != born:
            return False
        return seat.entry.role is not sent.role and now < self._find_end(sent)

    def _find_end(self, sent: _Sent) -> float:
        """Return when an order that is not seen carried out is given up."""
        catalog = self._core.catalog.catalog
        services = catalog.services.values() if catalog else ()
        changes = [one.engine.role_change_s for one in services if one.engine]
        return sent.sent_at + max(changes, default=0) + _SHOWN_S

    async def _release_when_idle(self) -> None:
        """Give the lease back when no order of it can be under way."""
        last_at = max(
            (order.sent_at for order in self._pending.values()),
            default=None,
        )
        if last_at is None or self._core.now() - last_at < self._apart_s:
            return
        self._pending.clear()
        await self._lease.release()

    def _is_turn(self) -> bool:
        """Whether those that stand before this instance had their chance."""
        now = self._core.now()
        if self._needed_at is None:
            self._needed_at = now
        rank = find_rank(self._core.book, _DUTY, now)
        return now - self._needed_at >= rank * _TURN_S

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
        report = (await self._core.engines.read_report(engine)).value_or(None)
        if report is None or report.changing or report.role is change.role:
            return
        if self._lease.token() != token:
            return
        order = RoleOrder(change.role, self._lease.holder, token, report.orders)
        now = self._core.now()
        self._pending[engine.name, engine.born] = _Sent(change.role, now)
        status = await self._core.engines.order(engine, order)
        journal.write_decision(
            'role_order',
            endpoint=engine.name,
            role=change.role.value,
            token=token,
            orders=report.orders,
            status=status,
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            self._lease.forget()
        if status in {HTTPStatus.ACCEPTED, HTTPStatus.OK}:
            metrics.ROLE_CHANGES.inc({'role': change.role.value})
