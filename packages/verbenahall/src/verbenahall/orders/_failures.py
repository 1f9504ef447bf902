"""Backoff and withdrawal after sends and changes that had no effect."""

from typing import Final

from verbenahall.orders._decisions import list_outstanding
from verbenahall.orders._dispatch import Dispatch, EngineSends
from verbenahall.orders._messages import Order, PlannedOrder
from verbenahall.orders._outcomes import Outcome
from verbenahall.orders._progress import Progress, find_progress
from verbenahall.orders._state import OrdersState

#: Bounds in seconds of the pause after a send; each failure doubles it.
_FIRST_PAUSE_S: Final = 0.25
_MAX_PAUSE_S: Final = 20.0
_MAX_DOUBLINGS: Final = 10
#: Consecutive sends without effect after which an order is withdrawn.
_MAX_REFUSALS: Final = 3
_NO_EFFECT: Final = frozenset((Outcome.REFUSED, Outcome.UNKNOWN))
#: Outcomes that reset the backoff.
_NO_BACKOFF: Final = frozenset(
    (Outcome.STARTED, Outcome.ALREADY, Outcome.BUSY, Outcome.NOT_SENT),
)


def record_sending(dispatch: Dispatch, order: Order) -> None:
    """Record that a send to the engine is in progress."""
    dispatch.find_sends(order.engine).sending = True


def record_outcome(
    dispatch: Dispatch,
    order: Order,
    outcome: Outcome,
    now: float,
) -> None:
    """Record the outcome of a send and when the next one may start."""
    engine_sends = dispatch.find_sends(order.engine)
    engine_sends.sending = False
    if outcome is Outcome.UNKNOWN:
        engine_sends.unanswered = order.number
        engine_sends.unanswered_at = now
    if outcome in _NO_BACKOFF:
        engine_sends.failures = 0
        engine_sends.refusals = 0
    else:
        engine_sends.failures += 1
        engine_sends.refusals += outcome in _NO_EFFECT
    _back_off(engine_sends, now)


def _back_off(engine_sends: EngineSends, now: float) -> None:
    pause = _FIRST_PAUSE_S * 2 ** min(engine_sends.failures, _MAX_DOUBLINGS)
    engine_sends.retry_at = now + min(_MAX_PAUSE_S, pause)


def record_failed_change(
    dispatch: Dispatch,
    state: OrdersState,
    engine: str,
    now: float,
) -> None:
    """Back off from an engine that accepted an order and failed to apply it.

    A change that cannot succeed, such as one to a version that is missing in
    the weight store, would otherwise be ordered again at once, and the
    engine would do nothing else.
    """
    order = state.orders.get(engine)
    if order is None:
        return
    progress = find_progress(order, state.reports.get(engine))
    engine_sends = dispatch.find_sends(engine)
    if progress is Progress.FAILED and engine_sends.failed != order.number:
        engine_sends.failed = order.number
        engine_sends.failures += 1
        _back_off(engine_sends, now)


def list_withdrawals(
    dispatch: Dispatch,
    state: OrdersState,
    scope: str,
    now: float,
) -> tuple[PlannedOrder, ...]:
    """Return orders that keep an engine's state, where it rejects a change.

    An engine gets no new requests while an order is outstanding. If it
    rejects the order, or never responds to it, it would stay idle for good.
    The new order, whose target is the state that the engine already has,
    replaces the rejected one in the fold of every instance, and the engine is
    left alone for ``_MAX_PAUSE_S``.
    """
    withdrawn = [
        order
        for order in list_outstanding(state, scope)
        if _should_withdraw(dispatch, state, order)
    ]
    return tuple(
        _withdraw(dispatch, state, rejected, now) for rejected in withdrawn
    )


def _withdraw(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
    now: float,
) -> PlannedOrder:
    engine_sends = dispatch.find_sends(order.engine)
    engine_sends.refusals = 0
    engine_sends.retry_at = now + _MAX_PAUSE_S
    report = state.reports[order.engine]
    return PlannedOrder(report.name, report.incarnation, report.holding)


def _should_withdraw(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
) -> bool:
    report = state.reports.get(order.engine)
    if report is None or report.changing or report.holding == order.target:
        return False
    return dispatch.find_sends(order.engine).refusals >= _MAX_REFUSALS
