"""How far each order has got, and when a new holder may send its first."""

import dataclasses
import enum
from typing import Final, final

from verbenahall.authority import Grant
from verbenahall.orders._messages import EngineReport, Order, OrderTiming
from verbenahall.orders._state import OrdersState


@final
class Progress(enum.Enum):
    """How far an order has got, by what the engine last said."""

    #: The engine has not told that it took the order.
    UNCONFIRMED = 'unconfirmed'
    RUNNING = 'running'
    DONE = 'done'
    #: The engine took the order, stopped changing, and holds another target.
    FAILED = 'failed'
    #: Another process answers under the engine's name; plan again.
    VOID = 'void'


_UNSETTLED: Final = frozenset((Progress.UNCONFIRMED, Progress.RUNNING))


def find_progress(order: Order, report: EngineReport | None) -> Progress:
    """Tell how far ``order`` has got."""
    if report is None:
        return Progress.UNCONFIRMED
    if report.incarnation != order.incarnation:
        return Progress.VOID
    if report.order != order.number:
        return Progress.UNCONFIRMED
    if report.changing:
        return Progress.RUNNING
    return Progress.DONE if report.holding == order.target else Progress.FAILED


def outstanding(state: OrdersState) -> tuple[Order, ...]:
    """Return the valid orders that are neither done, failed nor void."""
    return tuple(
        order
        for order in state.orders.values()
        if find_progress(order, state.reports.get(order.engine)) in _UNSETTLED
    )


def is_changing(state: OrdersState, engine: str) -> bool:
    """Tell whether an engine is to get no new work because of a change.

    True from the moment this process reads the order's record, so that the
    engine runs empty and the change can begin with nothing in flight.
    """
    report = state.reports.get(engine)
    if report is not None and report.changing:
        return True
    order = state.orders.get(engine)
    if order is None:
        return False
    return find_progress(order, report) in _UNSETTLED


@dataclasses.dataclass(frozen=True, slots=True)
class Gate:
    """When a holder may send its first order to an engine.

    ``opens_at`` is in monotonic seconds; ``read_back`` asks for the engine's
    state, read after that moment, before the order.
    """

    opens_at: float
    read_back: bool


def open_gate(
    grant: Grant,
    granted_at: float,
    timing: OrderTiming,
    *,
    checks_fencing: bool,
) -> Gate:
    """Decide how long a new holder leaves an engine alone.

    An engine that checks tokens refuses whatever an earlier holder still
    sends as soon as it has seen the new token. One that ignores them would
    carry out a late order: the earlier holder may have been paused between
    its check of the lease and the write, and the bytes may wait in a
    connection. The new holder therefore outwaits both before it looks at
    what the engine has become. ``granted_at`` is when the new holder read
    its own claim, which is later than the end of the earlier lease.
    """
    if checks_fencing:
        return Gate(granted_at, read_back=False)
    if grant.clean:
        return Gate(granted_at + timing.order_timeout_s, read_back=True)
    wait = timing.order_timeout_s + timing.longest_pause_s
    return Gate(granted_at + wait, read_back=True)
