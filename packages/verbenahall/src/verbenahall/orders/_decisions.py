"""Outstanding orders, and when a new holder may send its first order."""

import dataclasses

from verbenahall.authority import Grant
from verbenahall.orders._messages import Order, OrderTiming
from verbenahall.orders._progress import OUTSTANDING, find_progress
from verbenahall.orders._state import OrdersState


def list_outstanding(state: OrdersState, scope: str) -> tuple[Order, ...]:
    """Return a scope's orders that are neither done, failed nor void."""
    return tuple(state.outstanding_orders.get(scope, {}).values())


def is_changing(state: OrdersState, engine: str) -> bool:
    """Return whether an engine gets no new requests because of a change.

    New requests stop as soon as this process has read the order's record. So
    the engine drains, and the change starts with nothing in flight. An
    engine that already holds the target continues to get requests: its order
    only updates the order number. An engine without a report is not changing.
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

    ``opens_at`` is in monotonic seconds. If ``read_back`` is set, the
    engine's state must have been read after that time before an order is
    sent.
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
    """Return when a new holder may send its first order to an engine.

    An engine that checks tokens rejects the orders of an earlier holder once
    it has seen the new token. An engine that ignores tokens would carry out
    a late order: the earlier holder may have been paused between its check
    of the lease and the write, and the bytes may be buffered in a
    connection. So the new holder waits for the longest pause and the order
    timeout before it reads the engine's state. ``granted_at`` is when the
    new holder read its own claim, which is after the end of the earlier
    lease. After a release only the order timeout is waited for.
    """
    if checks_fencing:
        return SendGate(granted_at, read_back=False)
    if grant.clean:
        return SendGate(granted_at + timing.order_timeout_s, read_back=True)
    wait = timing.order_timeout_s + timing.longest_pause_s
    return SendGate(granted_at + wait, read_back=True)
