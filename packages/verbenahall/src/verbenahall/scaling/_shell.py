"""Orders engines while this instance holds the duty, else stands by."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Mapping
from typing import Final, final

from verbenahall import journal
from verbenahall.catalog import ScalingRules
from verbenahall.clock import Clock
from verbenahall.duties import DutyLease, Succession
from verbenahall.platform import (
    DutyClient,
    DutyOutcome,
    LeaseToken,
    ScaleOrder,
    StoreClient,
)
from verbenahall.roster import Entry
from verbenahall.scaling._bases import BaseSizes
from verbenahall.scaling._decisions import plan_sizes
from verbenahall.scaling._messages import CapacityKind, Pool, Sizes
from verbenahall.scaling._state import PoolOrders

#: Name of the duty, and of its lease.
DUTY: Final = 'scale'
#: Interval at which the pools are checked, in seconds.
_CHECK_INTERVAL_S: Final = 0.4
#: Lease on the duty, in seconds; it is acquired again once it has ended.
LEASE_S: Final = 5.0
#: Time before a failed call is retried, in seconds.
_RETRY_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of the scaler; ``name`` is the instance's.

    ``list_rules`` returns the rules of the services that are scaled, and
    ``list_engines`` the engines of a service that may get requests.
    ``is_list_current`` returns whether the local copy of the store's list of
    engines is current.
    """

    name: str
    store: StoreClient
    calls: DutyClient
    lease: DutyLease
    succession: Succession
    list_rules: Callable[[], Mapping[str, ScalingRules]]
    list_engines: Callable[[str], list[Entry]]
    is_list_current: Callable[[], bool]
    now: Clock


@final
class Scaler:
    """Carries out the duty of scaling if this instance holds it."""

    __slots__ = (
        '_bases',
        '_dependencies',
        '_failed_at',
        '_holds_duty',
        '_orders',
    )

    def __init__(self, dependencies: Dependencies) -> None:
        """Create the scaler; nothing is ordered before ``run``."""
        self._bases = BaseSizes(dependencies.store, dependencies.now)
        self._holds_duty = False
        self._orders: dict[str, PoolOrders] = {}
        self._failed_at = -float('inf')
        self._dependencies = dependencies

    async def run(self) -> None:
        """Order or stand by until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            rules = self._dependencies.list_rules()
            if self._holds_duty and rules:
                await self._scale_all(rules)
            elif rules and await self._dependencies.succession.step():
                journal.write_decision('duty_held', duty=DUTY)
                self._holds_duty = True
                self._orders.clear()

    async def _scale_all(self, rules: Mapping[str, ScalingRules]) -> None:
        now = self._dependencies.now()
        # Entries expire while the store is unavailable. If they counted as
        # lost engines, all of them would be ordered again.
        if (
            now - self._failed_at < _RETRY_INTERVAL_S
            or not self._dependencies.is_list_current()
        ):
            return
        lease = self._dependencies.lease
        token = await lease.acquire()
        if token is None:
            self._failed_at = now
            if lease.grant.token and lease.grant.holder != lease.holder:
                self._step_down('another instance holds the lease')
            return
        for service, service_rules in rules.items():
            engines = self._dependencies.list_engines(service)
            base = await self._bases.find(service, engines)
            if base:
                await self._scale(service, service_rules, base, token)

    async def _scale(
        self,
        service: str,
        rules: ScalingRules,
        base: int,
        token: int,
    ) -> None:
        now = self._dependencies.now()
        orders = self._orders.setdefault(service, PoolOrders())
        present = _count(self._dependencies.list_engines(service))
        wanted = plan_sizes(rules, base, present, orders.list_closed(now))
        chosen = orders.choose(wanted, present, rules, now)
        for pool, size in chosen.items():
            if (
                not self._holds_duty
                or self._dependencies.lease.token() != token
            ):
                return
            await self._send_order(service, pool, size, token)

    async def _send_order(
        self,
        service: str,
        pool: Pool,
        size: int,
        token: int,
    ) -> None:
        lease_token = LeaseToken(self._dependencies.name, token)
        outcome = await self._dependencies.calls.scale(
            lease_token,
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
        now = self._dependencies.now()
        orders = self._orders[service]
        match outcome:
            case DutyOutcome.DONE:
                orders.record_ordered(pool, size, now)
            case DutyOutcome.FENCED if (
                self._dependencies.lease.token() != token
            ):
                self._dependencies.lease.discard_token()
                self._step_down('a higher token was seen')
            case DutyOutcome.FENCED | DutyOutcome.REJECTED:
                # The lease is still held, so the refusal means that the pool
                # has no available capacity.
                orders.record_unavailable(pool, now)
            case _:
                self._failed_at = now

    def _step_down(self, reason: str) -> None:
        journal.write_decision('duty_lost', duty=DUTY, reason=reason)
        self._holds_duty = False
        self._dependencies.succession.step_down()


def _count(engines: list[Entry]) -> Sizes:
    return collections.Counter(
        Pool(
            engine.data_centre,
            CapacityKind.SPOT if engine.spot else CapacityKind.ON_DEMAND,
        )
        for engine in engines
    )
