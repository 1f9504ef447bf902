"""What a holder does about sends and changes that bring nothing."""

from typing import Final

from verbenahall.orders._decisions import outstanding
from verbenahall.orders._dispatch import Dispatch, Track
from verbenahall.orders._messages import Order, PlannedOrder
from verbenahall.orders._outcomes import Outcome
from verbenahall.orders._progress import Progress, find_progress
from verbenahall.orders._state import OrdersState

_FIRST_PAUSE_S: Final = 0.25
_LONGEST_PAUSE_S: Final = 20.0
_MOST_DOUBLINGS: Final = 10
#: So many tries in a row without effect withdraw an order.
_MOST_REFUSALS: Final = 3
_FRUITLESS: Final = frozenset((Outcome.REFUSED, Outcome.UNKNOWN))
#: Outcomes after which the pause does not grow.
_ORDINARY: Final = frozenset(
    (Outcome.STARTED, Outcome.ALREADY, Outcome.BUSY, Outcome.NOT_SENT),
)


def note_sending(dispatch: Dispatch, order: Order) -> None:
    """Keep that a send is under way."""
    dispatch.find_track(order.engine).sending = True


def note_outcome(
    dispatch: Dispatch,
    order: Order,
    outcome: Outcome,
    now: float,
) -> None:
    """Keep what became of a send and when to look again."""
    track = dispatch.find_track(order.engine)
    track.sending = False
    if outcome is Outcome.UNKNOWN:
        track.doubt = order.number
        track.doubt_at = now
    if outcome in _ORDINARY:
        track.failures = 0
        track.refusals = 0
    else:
        track.failures += 1
        track.refusals += outcome in _FRUITLESS
    _pause(track, now)


def _pause(track: Track, now: float) -> None:
    pause = _FIRST_PAUSE_S * 2 ** min(track.failures, _MOST_DOUBLINGS)
    track.retry_at = now + min(_LONGEST_PAUSE_S, pause)


def record_failed_change(
    dispatch: Dispatch,
    state: OrdersState,
    engine: str,
    now: float,
) -> None:
    """Let an engine rest that took an order and did not fulfil it.

    A change that cannot succeed, such as a version that the weight store
    does not have, would otherwise be ordered again at once, and the engine
    would spend its whole time in it.
    """
    order = state.orders.get(engine)
    if order is None:
        return
    progress = find_progress(order, state.reports.get(engine))
    track = dispatch.find_track(engine)
    if progress is Progress.FAILED and track.failed != order.number:
        track.failed = order.number
        track.failures += 1
        _pause(track, now)


def list_withdrawals(
    dispatch: Dispatch,
    state: OrdersState,
    scope: str,
    now: float,
) -> tuple[PlannedOrder, ...]:
    """Return orders to stay as it is, for engines that refuse to change.

    While an order is outstanding its engine gets no new work. An engine that
    refuses the order, or never answers it, would stand idle for ever; the
    order to stay takes the place of the refused one in every instance's
    fold, and the engine rests before it is asked again.
    """
    withdrawn = [
        order
        for order in outstanding(state, scope)
        if _is_hopeless(dispatch, state, order)
    ]
    return tuple(
        _withdraw(dispatch, state, hopeless, now) for hopeless in withdrawn
    )


def _withdraw(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
    now: float,
) -> PlannedOrder:
    track = dispatch.find_track(order.engine)
    track.refusals = 0
    track.retry_at = now + _LONGEST_PAUSE_S
    report = state.reports[order.engine]
    return PlannedOrder(report.name, report.incarnation, report.holding)


def _is_hopeless(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
) -> bool:
    report = state.reports.get(order.engine)
    if report is None or report.changing or report.holding == order.target:
        return False
    return dispatch.find_track(order.engine).refusals >= _MOST_REFUSALS
