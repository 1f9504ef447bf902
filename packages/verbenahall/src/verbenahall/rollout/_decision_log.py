"""Decision lines and counts of the controller."""

from collections.abc import Iterable, Sequence
from typing import final

from verbenahall import metrics
from verbenahall.fleet import Role
from verbenahall.journal import write_decision
from verbenahall.orders import Order, Outcome, PlannedOrder, encode_target
from verbenahall.rollout._messages import Waiting


def log_placed(planned: Sequence[PlannedOrder], offset: int) -> None:
    """Write a line for each order recorded at ``offset``."""
    for index, order in enumerate(planned):
        write_decision(
            'place',
            engine=order.engine,
            order=f'{offset}.{index}',
            target=encode_target(order.target),
        )


@final
class SentOrderLog:
    """Writes a line for each try of an order, and counts role changes."""

    __slots__ = ('_counted',)

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._counted: dict[str, str] = {}

    def log(self, order: Order, outcome: Outcome, role: Role) -> None:
        """Tell of one try; ``role`` is what the engine had before.

        An order whose answer came too late is sent again, and an engine that
        is at it says again that it has started: one change of its role.
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


def log_waiting(just_changed: Iterable[Waiting]) -> None:
    """Write a line for each engine that newly waits."""
    for entry in sorted(just_changed, key=lambda waits: waits.engine):
        write_decision(
            'place_later',
            engine=entry.engine,
            reason=entry.reason.value,
            model=entry.model,
        )
