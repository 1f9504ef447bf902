"""Which orders are outstanding, and when a new holder may send its first."""

import dataclasses

from verbenahall.authority import Grant
from verbenahall.orders._messages import Order, OrderTiming
from verbenahall.orders._progress import OUTSTANDING, find_progress
from verbenahall.orders._state import OrdersState


def outstanding(state: OrdersState, scope: str) -> tuple[Order, ...]:
    """Return a scope's valid orders that are neither done, failed nor void."""
    return tuple(state.unsettled.get(scope, {}).values())


def is_changing(state: OrdersState, engine: str) -> bool:
    """Tell whether an engine is to get no new work because of a change.

    True from the moment this process reads the order's record, so that the
    engine runs empty and the change can begin with nothing in flight. An
    engine that holds the target already may work on: its order only moves
    its number. An engine that this process does not follow counts as free.
    """
    report = state.reports.get(engine)
    if report is None:
        return False
    if report.changing:
        return True
    order = state.orders.get(engine)
    if order is None or find_progress(order, report) not in OUTSTANDING:
        return False
    return report.holding != order.target


@dataclasses.dataclass(frozen=True, slots=True)
class SendGate:
    """When a holder may send its first order to an engine.

    ``opens_at`` is in monotonic seconds; ``read_back`` asks for the engine's
    state, read after that moment, before the order.
    """

    opens_at: float
    read_back: bool


def find_send_gate(
    grant: Grant,
    granted_at: float,
    timing: OrderTiming,
    *,
    checks_fencing: bool,
) -> SendGate:
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
        return SendGate(granted_at, read_back=False)
    if grant.clean:
        return SendGate(granted_at + timing.order_timeout_s, read_back=True)
    wait = timing.order_timeout_s + timing.longest_pause_s
    return SendGate(granted_at + wait, read_back=True)
