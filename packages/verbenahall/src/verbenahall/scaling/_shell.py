"""Orders engines while this instance holds the duty, and stands by else."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Mapping
from typing import Final, final

from verbenahall import journal
from verbenahall.clock import Clock
from verbenahall.duties import DutyLease, Succession
from verbenahall.platform import (
    DutyCalls,
    DutyOutcome,
    ScaleOrder,
    Seal,
    StoreClient,
)
from verbenahall.roster import Entry
from verbenahall.scaling._bases import BaseSizes
from verbenahall.scaling._decisions import plan_sizes
from verbenahall.catalog import ScalingRules
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes
from verbenahall.scaling._state import PoolOrders

#: The name under which the lease on scaling is kept.
DUTY: Final = 'scale'
#: How often the pools are looked at, in seconds.
_LOOK_S: Final = 0.4
#: How long the lease holds, in seconds; it is renewed when it has ended.
LEASE_S: Final = 5.0
#: Pause after a failed call, in seconds.
_PAUSE_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the scaler works with; ``name`` is the instance's.

    ``list_rules`` returns the services that are scaled, and ``list_engines``
    those of a service that may get work; ``is_listed`` tells whether the store
    can be believed about them now.
    """

    name: str
    store: StoreClient
    calls: DutyCalls
    lease: DutyLease
    succession: Succession
    list_rules: Callable[[], Mapping[str, ScalingRules]]
    list_engines: Callable[[str], list[Entry]]
    is_listed: Callable[[], bool]
    now: Clock


@final
class Scaler:
    """One instance's part in the duty of scaling."""

    __slots__ = (
        '_bases',
        '_holds',
        '_orders',
        '_tried_at',
        '_with',
    )

    def __init__(self, surroundings: Surroundings) -> None:
        """Prepare; nothing is ordered before ``run``."""
        self._bases = BaseSizes(surroundings.store, surroundings.now)
        self._holds = False
        self._orders: dict[str, PoolOrders] = {}
        self._tried_at = -float('inf')
        self._with = surroundings

    async def run(self) -> None:
        """Order or stand by until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            rules = self._with.list_rules()
            if self._holds and rules:
                await self._scale_all(rules)
            elif rules and await self._with.succession.step():
                journal.write_decision('duty_held', duty=DUTY)
                self._holds = True
                self._orders.clear()

    async def _scale_all(self, rules: Mapping[str, ScalingRules]) -> None:
        now = self._with.now()
        # Entries lapse while the store is away; counted as engines that are
        # gone, they would all be ordered anew.
        if now - self._tried_at < _PAUSE_S or not self._with.is_listed():
            return
        lease = self._with.lease
        token = await lease.acquire()
        if token is None:
            self._tried_at = now
            if lease.grant.token and lease.grant.holder != lease.holder:
                self._end('another instance holds the lease')
            return
        for service, bounds in rules.items():
            engines = self._with.list_engines(service)
            base = await self._bases.find(service, engines)
            if base:
                await self._scale(service, bounds, base, token)

    async def _scale(
        self,
        service: str,
        rules: ScalingRules,
        base: int,
        token: int,
    ) -> None:
        now = self._with.now()
        orders = self._orders.setdefault(service, PoolOrders())
        present = _count(self._with.list_engines(service))
        wanted = plan_sizes(rules, base, present, orders.list_closed(now))
        chosen = orders.choose(wanted, present, rules, now)
        for pool, size in chosen.items():
            if not self._holds or self._with.lease.token() != token:
                return
            await self._order(service, pool, size, token)

    async def _order(
        self,
        service: str,
        pool: Pool,
        size: int,
        token: int,
    ) -> None:
        seal = Seal(self._with.name, token)
        outcome = await self._with.calls.scale(
            seal,
            service,
            ScaleOrder(pool.data_centre, size, pool.kind is CapacityKind.SPOT),
        )
        journal.write_decision(
            'scale_order',
            service=service,
            data_centre=pool.data_centre,
            kind=pool.kind.value,
            engines=size,
            token=token,
            outcome=outcome.value,
        )
        now = self._with.now()
        orders = self._orders[service]
        match outcome:
            case DutyOutcome.DONE:
                orders.record_ordered(pool, size, now)
            case DutyOutcome.FENCED if self._with.lease.token() != token:
                self._with.lease.forget()
                self._end('a higher token was seen')
            case DutyOutcome.FENCED | DutyOutcome.REJECTED:
                # The lease still holds, so the pool is what has no engines.
                orders.record_unavailable(pool, now)
            case _:
                self._tried_at = now

    def _end(self, reason: str) -> None:
        journal.write_decision('duty_lost', duty=DUTY, reason=reason)
        self._holds = False
        self._with.succession.note_lost()


def _count(engines: list[Entry]) -> Sizes:
    return collections.Counter(
        Pool(
            engine.data_centre,
            CapacityKind.SPOT if engine.spot else CapacityKind.ON_DEMAND,
        )
        for engine in engines
    )
