"""Orders engines while this instance holds the duty, else stands by."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.capacity import (
    CapacityKind,
    CapacityPlanner,
    Demand,
    Pool,
    Sizes,
    find_invalid_field,
)
from verbenahall.platform import DutyOutcome, LeaseToken, ScaleOrder
from verbenahall.roster import Entry
from verbenahall.scaling._dependencies import Dependencies
from verbenahall.scaling._exchange import DemandExchange
from verbenahall.scaling._records import OrderRecord, OrderRecords
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
#: Decimal places of a demand in the log.
_DECIMALS: Final = 3


@final
class _ServiceState:
    """What the holder of the duty knows of one service."""

    __slots__ = ('demand', 'invalid', 'needed', 'orders', 'planner')

    def __init__(self) -> None:
        """Start without orders and without known demand."""
        self.demand = Demand()
        self.invalid = ''
        self.needed = 0
        self.orders = PoolOrders()
        self.planner = CapacityPlanner()


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
    )

    def __init__(self, dependencies: Dependencies) -> None:
        """Create the scaler; nothing is ordered before ``run``."""
        self._demand = DemandExchange(dependencies)
        self._records = OrderRecords(dependencies.store)
        self._holds_duty = False
        self._states: dict[str, _ServiceState] = {}
        self._failed_at = -float('inf')
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
        if not self._dependencies.is_list_current():
            # Entries expire while the store is unavailable, and are listed
            # again some time after it is back. If they counted as lost
            # engines, all of them would be ordered again.
            self._failed_at = now
        if now - self._failed_at < _RETRY_INTERVAL_S:
            return
        lease = self._dependencies.lease
        token = await lease.acquire()
        if token is None:
            self._failed_at = now
            if lease.grant.token and lease.grant.holder != lease.holder:
                self._step_down('another instance holds the lease')
            return
        if not self._records.is_read and not await self._resume(now):
            self._failed_at = now
            return
        for service, scaled in services.items():
            state = self._states.setdefault(service, _ServiceState())
            if self._has_valid_rules(service, scaled, state):
                await self._scale(service, scaled, state, token)

    async def _resume(self, now: float) -> bool:
        """Read the records of the previous holder; False if that failed."""
        if not await self._records.read():
            return False
        for service, record in self._records.known.items():
            if service not in self._states:
                state = self._states.setdefault(service, _ServiceState())
                state.orders.resume(record.targets, now)
                state.planner.resume(record.demand, now)
                journal.write_decision(
                    'scaling_resumed',
                    service=service,
                    token=record.token,
                    engines=sum(record.targets.values()),
                )
        return True

    def _has_valid_rules(
        self, service: str, scaled: ScaledService, state: _ServiceState
    ) -> bool:
        """Whether the rules are valid; an invalid field is logged once."""
        field = find_invalid_field(scaled.rules)
        if field and field != state.invalid:
            journal.write_decision(
                'scaling_rules_invalid', service=service, field=field
            )
        state.invalid = field
        return not field

    async def _scale(
        self,
        service: str,
        scaled: ScaledService,
        state: _ServiceState,
        token: int,
    ) -> None:
        chosen = self._choose_orders(service, scaled, state)
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

    def _choose_orders(
        self, service: str, scaled: ScaledService, state: _ServiceState
    ) -> Sizes:
        """Return the orders to send for a service now."""
        now = self._dependencies.now()
        rules = scaled.rules
        table = self._demand.table
        engines = self._dependencies.roster.list_live(service, now)
        present = _count(engines)
        state.demand = table.total(service, now)
        state.planner.record_demand(state.demand, scaled.traits, rules, now)
        state.orders.record_present(present, now)
        self._log_needed(service, state, sum(present.values()))
        availability = state.orders.describe(table.list_centres(), rules, now)
        wanted = state.planner.plan(rules, present, availability, now)
        return state.orders.choose(wanted, rules, now)

    def _log_needed(
        self, service: str, state: _ServiceState, engines: int
    ) -> None:
        """Log the number of engines that must serve when it changes."""
        needed = state.planner.find_needed(self._dependencies.now())
        labels = {'service': service}
        metrics.ENGINES_NEEDED.set(labels, needed)
        metrics.ENGINES_PRESENT.set(labels, engines)
        if needed == state.needed:
            return
        state.needed = needed
        journal.write_decision(
            'engines_needed',
            service=service,
            engines=needed,
            present=engines,
            prefill_s=round(state.demand.prefill_s, _DECIMALS),
            streams=round(state.demand.streams),
        )

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


def _count(engines: Iterable[Entry]) -> Sizes:
    return collections.Counter(
        Pool(
            engine.data_centre,
            CapacityKind.SPOT if engine.spot else CapacityKind.ON_DEMAND,
        )
        for engine in engines
    )
