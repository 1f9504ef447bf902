"""The fold of the orders stream, and the latest reports of engines."""

from verbenahall.authority import AuthorityState, current_token
from verbenahall.orders._messages import EngineReport, Order, decode_batch
from verbenahall.orders._progress import OUTSTANDING, find_progress
from verbenahall.records import ORDERS_STREAM, Record


class OrdersState:
    """The latest valid order and the latest report of each engine.

    ``authority`` is folded from the same records and must be given each
    record before this state. ``reported_at`` holds monotonic seconds.
    ``outstanding_orders`` holds them by scope and engine, so that the cost of
    a step depends on their number and not on the number of engines.
    ``finished_at`` is when a report showed that an engine's order is no
    longer outstanding.
    """

    __slots__ = (
        'authority',
        'finished_at',
        'orders',
        'outstanding_orders',
        'position',
        'reported_at',
        'reports',
    )

    def __init__(self, authority: AuthorityState) -> None:
        """Start without orders."""
        self.authority = authority
        self.orders: dict[str, Order] = {}
        self.reports: dict[str, EngineReport] = {}
        self.reported_at: dict[str, float] = {}
        self.finished_at: dict[str, float] = {}
        self.outstanding_orders: dict[str, dict[str, Order]] = {}
        self.position = 0


def apply_record(state: OrdersState, record: Record) -> tuple[Order, ...]:
    """Fold one record; return its valid orders.

    A batch is valid only if its token is the one in force at its offset. So
    the appends of a process that has lost its scope have no effect, and this
    does not depend on any clock.
    """
    if record.offset <= state.position:
        return ()
    state.position = record.offset
    if record.stream != ORDERS_STREAM:
        return ()
    orders = decode_batch(record.body, record.offset)
    valid = tuple(order for order in orders if _is_valid(state, order))
    for order in valid:
        former = state.orders.get(order.engine, order)
        state.outstanding_orders.get(former.scope, {}).pop(order.engine, None)
        state.orders[order.engine] = order
        update_outstanding(state, order)
    return valid


def _is_valid(state: OrdersState, order: Order) -> bool:
    token = current_token(state.authority, order.scope)
    return token != 0 and order.token == token


def record_report(
    state: OrdersState,
    report: EngineReport,
    now: float,
) -> None:
    """Record the report of an engine that was read at ``now``."""
    state.reports[report.name] = report
    state.reported_at[report.name] = now
    order = state.orders.get(report.name)
    if order is None:
        return
    was_outstanding = report.name in state.outstanding_orders.get(
        order.scope, {}
    )
    update_outstanding(state, order)
    if (
        was_outstanding
        and report.name not in state.outstanding_orders[order.scope]
    ):
        state.finished_at[report.name] = now


def update_outstanding(state: OrdersState, order: Order) -> None:
    """Add an order to its scope's outstanding ones, or remove it."""
    outstanding_orders = state.outstanding_orders.setdefault(order.scope, {})
    progress = find_progress(order, state.reports.get(order.engine))
    if progress in OUTSTANDING:
        outstanding_orders[order.engine] = order
    else:
        outstanding_orders.pop(order.engine, None)
