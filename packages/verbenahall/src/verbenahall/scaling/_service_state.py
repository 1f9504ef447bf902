"""What the holder of the duty knows of one service."""

import collections
from collections.abc import Iterable
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.capacity import (
    CapacityKind,
    CapacityPlanner,
    Demand,
    DemandTable,
    Pool,
    Sizes,
    find_invalid_field,
)
from verbenahall.catalog import ScalingRules
from verbenahall.roster import Entry
from verbenahall.scaling._services import ScaledService
from verbenahall.scaling._state import PoolOrders

#: Decimal places of a demand in the log.
_DECIMALS: Final = 3


@final
class ServiceState:
    """Demand, plan and orders of one service; times are monotonic."""

    __slots__ = (
        'demand',
        'orders',
        'planner',
        '_invalid',
        '_needed',
        '_service',
    )

    def __init__(self, service: str) -> None:
        """Start without orders and without known demand."""
        self.demand = Demand()
        self.orders = PoolOrders()
        self.planner = CapacityPlanner()
        self._invalid = ''
        self._needed = 0
        self._service = service

    def has_valid_rules(self, rules: ScalingRules) -> bool:
        """Whether the rules are valid; an invalid field is logged once."""
        field = find_invalid_field(rules)
        if field and field != self._invalid:
            journal.write_decision(
                'scaling_rules_invalid', service=self._service, field=field
            )
        self._invalid = field
        return not field

    def choose_orders(
        self,
        scaled: ScaledService,
        engines: Iterable[Entry],
        table: DemandTable,
        now: float,
    ) -> Sizes:
        """Return the orders to send now, given the engines that serve."""
        rules = scaled.rules
        present = _count(engines)
        serving = sum(present.values())
        self.demand = table.total(self._service, now)
        self.planner.record_demand(
            self.demand, scaled.traits, rules, serving, now
        )
        self.orders.record_present(present, now)
        self._log_needed(serving, now)
        availability = self.orders.describe(table.list_centres(), rules, now)
        wanted = self.planner.plan(rules, present, availability, now)
        return self.orders.choose(wanted, rules, now)

    def _log_needed(self, engines: int, now: float) -> None:
        """Log the number of engines that must serve when it changes."""
        needed = self.planner.find_needed(now)
        labels = {'service': self._service}
        metrics.ENGINES_NEEDED.set(labels, needed)
        metrics.ENGINES_PRESENT.set(labels, engines)
        if needed == self._needed:
            return
        self._needed = needed
        journal.write_decision(
            'engines_needed',
            service=self._service,
            engines=needed,
            present=engines,
            prefill_s=round(self.demand.prefill_s, _DECIMALS),
            streams=round(self.demand.streams),
        )


def _count(engines: Iterable[Entry]) -> Sizes:
    return collections.Counter(
        Pool(
            engine.data_centre,
            CapacityKind.SPOT if engine.spot else CapacityKind.ON_DEMAND,
        )
        for engine in engines
    )
