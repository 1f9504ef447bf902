"""Decision log lines and metrics of the controller."""

from collections.abc import Iterable, Sequence
from typing import final

from verbenahall import metrics
from verbenahall.fleet import Role
from verbenahall.journal import write_decision
from verbenahall.orders import Order, Outcome, PlannedOrder, encode_target
from verbenahall.rollout._messages import Waiting


def log_placed(planned: Sequence[PlannedOrder], offset: int) -> None:
    """Log each order of the record at ``offset``."""
    for index, order in enumerate(planned):
        write_decision(
            'place',
            engine=order.engine,
            order=f'{offset}.{index}',
            target=encode_target(order.target),
        )


@final
class SentOrderLog:
    """Logs each attempt to send an order, and counts role changes."""

    __slots__ = ('_counted',)

    def __init__(self) -> None:
        """Start without counted orders."""
        self._counted: dict[str, str] = {}

    def log(self, order: Order, outcome: Outcome, role: Role) -> None:
        """Log one attempt; ``role`` is the engine's role before it.

        An order whose response came too late is sent again, and an engine
        that is already applying it reports once more that it has started. The
        role change is counted once.
        """
        started = outcome is Outcome.STARTED and order.target.role is not role
        if started and self._counted.get(order.engine) != order.number:
            self._counted[order.engine] = order.number
            metrics.ROLE_CHANGES.inc({})
        write_decision(
            'order',
            engine=order.engine,
            order=order.number,
            outcome=outcome.value,
        )


def log_waiting(newly_waiting: Iterable[Waiting]) -> None:
    """Log each engine that has started to wait."""
    for entry in sorted(newly_waiting, key=lambda waiting: waiting.engine):
        write_decision(
            'place_later',
            engine=entry.engine,
            reason=entry.reason.value,
            model=entry.model,
        )
