"""Decision lines and counts of the controller."""

from collections.abc import Iterable, Sequence

from verbenahall import metrics
from verbenahall.fleet import Role
from verbenahall.journal import write_decision
from verbenahall.orders import Order, Outcome, PlannedOrder, encode_target
from verbenahall.rollout._messages import Waiting


def tell_placed(planned: Sequence[PlannedOrder], offset: int) -> None:
    """Write a line for each order recorded at ``offset``."""
    for index, order in enumerate(planned):
        write_decision(
            'place',
            engine=order.engine,
            order=f'{offset}.{index}',
            target=encode_target(order.target),
        )


def tell_sent(order: Order, outcome: Outcome, role: Role) -> None:
    """Write a line for one try; ``role`` is what the engine had before."""
    if outcome is Outcome.STARTED and order.target.role is not role:
        metrics.ROLE_CHANGES.inc({})
    write_decision(
        'order',
        engine=order.engine,
        order=order.number,
        outcome=outcome.value,
    )


def tell_waiting(fresh: Iterable[Waiting]) -> None:
    """Write a line for each engine that newly waits."""
    for entry in sorted(fresh, key=lambda waits: waits.engine):
        write_decision(
            'place_later',
            engine=entry.engine,
            reason=entry.reason.value,
            model=entry.model,
        )
