"""Brings the engines to their planned roles, one holder at a time."""

import asyncio
import dataclasses
import time
from collections.abc import Sequence
from typing import Final, final

import aiohttp
from returns.maybe import Some

from verbenahall import journal, metrics
from verbenahall.authority import LeaseTiming
from verbenahall.fleet import Role
from verbenahall.gateway._core import Core
from verbenahall.gateway._lease import RoleLease
from verbenahall.peers import find_heard
from verbenahall.placement import RoleChange, plan_roles
from verbenahall.platform import (
    EXPECT_ENDPOINT,
    ORDER,
    REPORT,
    EngineReport,
    RoleOrder,
    decode_report,
    encode_order,
)
from verbenahall.roster import Entry
from verbenahall.routing import rank_by_rendezvous

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
#: this long, in seconds, so that usually one of them makes the calls.
_TURN_S: Final = 4.0
#: How long an order may take until it shows in the list, in seconds, beyond
#: the time of the change itself.
_SHOWN_S: Final = 4.0
_CALL_S: Final = 1.0
_LEASE_S: Final = 6.0
_ACCEPTED: Final = 202
_HOLDS: Final = 200
_FENCED: Final = 412


def read_boot_clock() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """An order that was sent, and when."""

    role: Role
    sent_at: float


@final
class RoleKeeper:
    """Looks at the roles of each engine service and orders changes."""

    __slots__ = (
        '_core',
        '_lease',
        '_pending',
        '_needed_at',
        '_seen',
        '_present',
    )

    def __init__(self, core: Core) -> None:
        """Order in turn with the peers that are heard."""
        self._core = core
        bounds = core.settings.bounds
        self._lease = RoleLease(
            core.store,
            core.settings.name,
            # The margin keeps two holders' orders further apart than a
            # lease, so that they are never seen to take turns.
            LeaseTiming(_LEASE_S, margin_s=bounds.lease_s + 0.5),
            core.random.random(),
            read_boot_clock,
        )
        #: The last order to an engine, by its name and start.
        self._pending: dict[tuple[str, int], _Sent] = {}
        self._needed_at: float | None = None
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
            for (name, born), order in self._pending.items()
            if self._is_open(name, born, order, now)
        ]

    def _plan(self, service: str) -> Sequence[RoleChange]:
        core = self._core
        now = core.now()
        listed = list(core.roster.live(service, now))
        engines = [
            one for one in listed if core.standings.reachable(one.name, now)
        ]
        if self._is_growing(service, engines, now):
            return ()
        if any(self._is_pending(engine, now) for engine in listed):
            return ()
        busy = {
            engine.name: core.placement.ledger.totals(engine.name).streams
            for engine in engines
        }
        away = self._count_away(service, engines, now)
        return plan_roles(engines, busy, away)

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

    def _is_open(self, name: str, born: int, order: _Sent, now: float) -> bool:
        seat = self._core.roster.seats.get(name)
        if seat is None or seat.entry.born != born:
            return False
        done = seat.entry.role is order.role
        return not done and now - order.sent_at < _SHOWN_S

    async def _release_when_idle(self) -> None:
        """Give the lease back when no order of it can be under way."""
        quiet_s = self._core.settings.bounds.lease_s + 0.5
        last_at = max(
            (order.sent_at for order in self._pending.values()),
            default=None,
        )
        if last_at is None or self._core.now() - last_at < quiet_s:
            return
        self._pending.clear()
        await self._lease.release()

    def _is_pending(self, engine: Entry, now: float) -> bool:
        sent = self._pending.get((engine.name, engine.born))
        return sent is not None and self._is_open(
            engine.name,
            engine.born,
            sent,
            now,
        )

    def _is_turn(self) -> bool:
        """Whether those that stand before this instance had their chance."""
        now = self._core.now()
        if self._needed_at is None:
            self._needed_at = now
        book = self._core.book
        heard = find_heard(book, now, _TURN_S)
        ranked = rank_by_rendezvous('roles', [*heard, book.name])
        rank = ranked.index(book.name)
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
        report = await self._read_report(engine)
        if report is None or report.changing or report.role is change.role:
            return
        if self._lease.token() != token:
            return
        order = RoleOrder(change.role, self._lease.holder, token, report.orders)
        self._pending[engine.name, engine.born] = _Sent(
            change.role,
            self._core.now(),
        )
        status = await self._send(engine, order)
        journal.write_decision(
            'role_order',
            endpoint=engine.name,
            role=change.role.value,
            token=token,
            orders=report.orders,
            status=status,
        )
        if status == _FENCED:
            self._lease.forget()
        if status in {_ACCEPTED, _HOLDS}:
            metrics.ROLE_CHANGES.inc({'role': change.role.value})

    async def _read_report(self, engine: Entry) -> EngineReport | None:
        url = f'http://{engine.address}{REPORT}'
        try:
            async with asyncio.timeout(_CALL_S):
                async with self._core.session.get(url) as response:
                    body = await response.read()
        except _FAILURES as error:
            journal.write_decision(
                'report_failed',
                endpoint=engine.name,
                reason=repr(error),
            )
            return None
        match decode_report(body):
            case Some(report):
                return report
            case _:
                return None

    async def _send(self, engine: Entry, order: RoleOrder) -> int | None:
        """Send an order; None when its fate is not known."""
        try:
            async with asyncio.timeout(_CALL_S):
                async with self._core.session.post(
                    f'http://{engine.address}{ORDER}',
                    data=encode_order(order),
                    headers={
                        'Content-Type': 'application/json',
                        EXPECT_ENDPOINT: engine.name,
                    },
                ) as response:
                    await response.read()
                    return response.status
        except _FAILURES as error:
            journal.write_decision(
                'order_unanswered',
                endpoint=engine.name,
                reason=repr(error),
            )
            return None


_FAILURES: Final = (aiohttp.ClientError, OSError, TimeoutError)
