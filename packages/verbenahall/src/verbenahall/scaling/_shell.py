"""Orders engines while this instance holds the duty, else stands by."""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.capacity import CapacityKind, Pool
from verbenahall.platform import (
    SCALING_TOPIC,
    DutyOutcome,
    LeaseToken,
    ScaleOrder,
)
from verbenahall.scaling._dependencies import Dependencies
from verbenahall.scaling._exchange import DemandExchange
from verbenahall.scaling._records import OrderRecord, OrderRecords
from verbenahall.scaling._service_state import ServiceState
from verbenahall.scaling._services import ScaledService
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
class _Order:
    """An order for the engines of one pool, under a fencing token."""

    service: str
    pool: Pool
    size: int
    token: int


@final
class Scaler:
    """Carries out the duty of scaling if this instance holds it."""

    __slots__ = (
        '_demand',
        '_dependencies',
        '_failed_at',
        '_holds_duty',
        '_records',
        '_states',
        '_uncertain_at',
    )

    def __init__(self, dependencies: Dependencies) -> None:
        """Create the scaler; nothing is ordered before ``run``."""
        self._demand = DemandExchange(dependencies)
        self._records = OrderRecords(dependencies.store)
        self._holds_duty = False
        self._states: dict[str, ServiceState] = {}
        self._failed_at = -float('inf')
        self._uncertain_at = -float('inf')
        self._dependencies = dependencies

    async def run(self) -> None:
        """Sum up the demand, and order or stand by, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            services = self._dependencies.list_services()
            if services:
                await self._demand.step()
                await self._step(services)

    async def _step(self, services: Mapping[str, ScaledService]) -> None:
        if self._holds_duty:
            await self._scale_all(services)
        elif await self._dependencies.succession.step():
            journal.write_decision('duty_held', duty=DUTY)
            self._holds_duty = True
            self._records.discard()
            self._states.clear()

    async def _scale_all(self, services: Mapping[str, ScaledService]) -> None:
        now = self._dependencies.now()
        if now - self._failed_at < _RETRY_INTERVAL_S:
            return
        lease = self._dependencies.lease
        await lease.restore()
        token = await lease.acquire()
        if token is None:
            self._failed_at = now
            if lease.grant.token and lease.grant.holder != lease.holder:
                self._step_down('another instance holds the lease')
            return
        if not self._is_list_settled(now):
            return
        if not self._records.is_read and not await self._resume(token):
            self._failed_at = now
            return
        for service, scaled in services.items():
            state = self._states.setdefault(service, ServiceState(service))
            if state.has_valid_rules(scaled.rules):
                await self._scale(service, scaled, state, token)

    def _is_list_settled(self, now: float) -> bool:
        """Whether the list of engines has been current for some time.

        Entries expire while the store is unavailable, and are listed again
        some time after it is back. If they counted as lost engines, all of
        them would be ordered again.
        """
        if not self._dependencies.is_list_current():
            self._uncertain_at = now
        return now - self._uncertain_at >= _RETRY_INTERVAL_S

    async def _resume(self, token: int) -> bool:
        """Read the records of the previous holder; False if that failed.

        A record with a higher token is that of a successor.
        """
        if not await self._records.read():
            return False
        now = self._dependencies.now()
        for service, record in self._records.known.items():
            if record.token > token:
                self._dependencies.lease.discard_token()
                self._step_down('a higher token was recorded')
                return False
            if service not in self._states:
                self._adopt(service, record, now)
        return await self._restore_records(token)

    async def _restore_records(self, token: int) -> bool:
        """Write again what the store has lost by its return from a copy."""
        for service, state in self._states.items():
            targets = state.orders.targets
            stored = self._records.known.get(service)
            if not targets or (stored and stored.targets == targets):
                continue
            record = OrderRecord(dict(targets), token, state.demand)
            if not await self._records.write(service, record):
                return False
            metrics.RESTORED_RECORDS.add(SCALING_TOPIC)
            journal.write_decision('scaling_restored', service=service)
        return True

    def _adopt(self, service: str, record: OrderRecord, now: float) -> None:
        """Continue the orders of the previous holder for a service."""
        state = self._states.setdefault(service, ServiceState(service))
        state.orders.resume(record.targets, now)
        state.planner.resume(record.demand, now)
        journal.write_decision(
            'scaling_resumed',
            service=service,
            token=record.token,
            engines=sum(record.targets.values()),
        )

    async def _scale(
        self,
        service: str,
        scaled: ScaledService,
        state: ServiceState,
        token: int,
    ) -> None:
        now = self._dependencies.now()
        engines = self._dependencies.roster.list_live(service, now)
        chosen = state.choose_orders(scaled, engines, self._demand.table, now)
        if not chosen:
            return
        # A successor finds the orders, also those that are being sent while
        # this instance is killed.
        targets = {**state.orders.targets, **chosen}
        record = OrderRecord(targets, token, state.demand)
        if not await self._records.write(service, record):
            self._failed_at = self._dependencies.now()
            return
        for pool, size in chosen.items():
            if (
                not self._holds_duty
                or self._dependencies.lease.token() != token
            ):
                return
            await self._send_order(_Order(service, pool, size, token))

    async def _send_order(self, order: _Order) -> None:
        lease_token = LeaseToken(self._dependencies.name, order.token)
        pool = order.pool
        outcome = await self._dependencies.calls.scale(
            lease_token,
            order.service,
            ScaleOrder(
                pool.data_centre, order.size, pool.kind is CapacityKind.SPOT
            ),
        )
        journal.write_decision(
            'scale_order',
            service=order.service,
            data_centre=pool.data_centre,
            kind=pool.kind.value,
            engines=order.size,
            token=order.token,
            outcome=outcome.value,
        )
        now = self._dependencies.now()
        orders = self._states[order.service].orders
        match outcome:
            case DutyOutcome.DONE:
                orders.record_ordered(pool, order.size, now)
            case DutyOutcome.FENCED:
                # Until the cause is known, nothing is sent to the pool.
                orders.closures.record_unavailable(pool, now)
                await self._handle_fenced(order, orders)
            case DutyOutcome.REJECTED:
                orders.closures.record_unavailable(pool, now)
            case _:
                self._failed_at = now

    async def _handle_fenced(self, order: _Order, orders: PoolOrders) -> None:
        """Find out whether an order was refused because of its token.

        The platform answers alike if the pool has no capacity. The lease may
        have ended during the call, which does not mean that another instance
        has a higher token.
        """
        lease = self._dependencies.lease
        is_superseded = await lease.is_superseded(order.token)
        if is_superseded is None:
            self._failed_at = self._dependencies.now()
        elif is_superseded:
            lease.discard_token()
            self._step_down('a higher token was seen')
        elif not orders.needs_capacity(order.pool, order.size):
            # No capacity is needed to remove engines.
            lease.discard_token()
            self._step_down('the token was refused')

    def _step_down(self, reason: str) -> None:
        journal.write_decision('duty_lost', duty=DUTY, reason=reason)
        self._holds_duty = False
        self._dependencies.succession.step_down()
