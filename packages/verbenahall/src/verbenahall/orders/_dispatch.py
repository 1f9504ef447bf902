"""Decides when a lease holder may send an order to an engine."""

from typing import Final

from verbenahall.authority import Grant
from verbenahall.fleet import Endpoint
from verbenahall.orders._decisions import find_send_gate
from verbenahall.orders._messages import Order, OrderTiming
from verbenahall.orders._progress import Progress, find_progress
from verbenahall.orders._state import OrdersState

#: Time in seconds for which an engine must keep responding before a new
#: holder uses the state that it read back.
_RESPONSIVE_S: Final = 0.5
#: Maximum age in seconds of the engine's report when an order is sent. The
#: report confirms the incarnation, so that another process that has started
#: at the same address does not get the order.
_MAX_REPORT_AGE_S: Final = 1.0


class EngineSends:
    """State of a holder's sends to one engine.

    ``sending`` is set while a send is in progress, and ``cleared`` once the
    send gate has been passed. ``read_back`` is when the engine's state was
    first read after the gate opened. ``unanswered`` is the number of an order
    that was written at ``unanswered_at`` and not answered. ``refusals`` counts
    consecutive sends without effect, and ``failed`` is the number of the last
    order that the engine accepted and did not complete.
    """

    __slots__ = (
        'cleared',
        'unanswered',
        'unanswered_at',
        'failed',
        'failures',
        'read_back',
        'refusals',
        'retry_at',
        'sending',
    )

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sending = False
        self.cleared = False
        self.read_back: float | None = None
        self.retry_at = -float('inf')
        self.failures = 0
        self.refusals = 0
        self.failed = ''
        self.unanswered = ''
        self.unanswered_at = -float('inf')


class Dispatch:
    """State of one process's sends under one fencing token.

    ``grant`` is this process's own, and ``granted_at`` is when the process
    read it from the log.
    """

    __slots__ = ('grant', 'granted_at', 'timing', 'sends')

    def __init__(self, timing: OrderTiming) -> None:
        """Start without a token."""
        self.timing = timing
        self.grant: Grant | None = None
        self.granted_at = -float('inf')
        self.sends: dict[str, EngineSends] = {}

    def find_sends(self, engine: str) -> EngineSends:
        """Return the state of the sends to an engine; create it if needed."""
        return self.sends.setdefault(engine, EngineSends())


def update_grant(dispatch: Dispatch, grant: Grant, now: float) -> None:
    """Reset the state if the grant has another fencing token than before."""
    if dispatch.grant is not None and dispatch.grant.token == grant.token:
        return
    dispatch.grant = grant
    dispatch.granted_at = now
    for engine_sends in dispatch.sends.values():
        engine_sends.cleared = False
        engine_sends.read_back = None


def is_cleared(
    dispatch: Dispatch,
    state: OrdersState,
    endpoint: Endpoint,
) -> bool:
    """Return whether this holder may send orders to the engine yet.

    Without this wait, an order that an earlier holder wrote just before its
    lease ended could reach an engine that ignores tokens after an order of
    this holder, and override it.
    """
    engine_sends = dispatch.find_sends(endpoint.name)
    if not engine_sends.cleared:
        engine_sends.cleared = _passes_gate(
            dispatch, state, endpoint, engine_sends
        )
    return engine_sends.cleared


def _passes_gate(
    dispatch: Dispatch,
    state: OrdersState,
    endpoint: Endpoint,
    engine_sends: EngineSends,
) -> bool:
    if dispatch.grant is None:
        return False
    gate = find_send_gate(
        dispatch.grant,
        dispatch.granted_at,
        dispatch.timing,
        checks_fencing=endpoint.checks_fencing,
    )
    reported_at = state.reported_at.get(endpoint.name, -float('inf'))
    if not gate.read_back:
        return True
    if reported_at < gate.opens_at:
        return False
    # The first response only shows that the engine is running again. A later
    # one shows that it has also processed the data that was waiting in its
    # connections.
    if engine_sends.read_back is None:
        engine_sends.read_back = reported_at
    return reported_at >= engine_sends.read_back + _RESPONSIVE_S


def may_send(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
    endpoint: Endpoint,
    now: float,
) -> bool:
    """Return whether ``order`` may be sent to its engine at ``now``."""
    engine_sends = dispatch.find_sends(order.engine)
    if engine_sends.sending or now < engine_sends.retry_at:
        return False
    report = state.reports.get(order.engine)
    reported_at = state.reported_at.get(order.engine, -float('inf'))
    if report is None or now - reported_at > _MAX_REPORT_AGE_S:
        return False
    if find_progress(order, report) is not Progress.UNCONFIRMED:
        return False
    if not is_cleared(dispatch, state, endpoint):
        return False
    return endpoint.checks_fencing or _has_no_rival_order(
        dispatch.timing,
        engine_sends,
        order,
        reported_at,
    )


def _has_no_rival_order(
    timing: OrderTiming,
    engine_sends: EngineSends,
    order: Order,
    reported_at: float,
) -> bool:
    """Return whether no other order can still reach an engine.

    An engine that ignores order numbers could carry out an older order after
    a newer one, if the older one was written, got no response and is still
    in a connection. The newer order waits until that connection has timed
    out and the engine has responded since.
    """
    if engine_sends.unanswered in {'', order.number}:
        return True
    return (
        reported_at
        >= engine_sends.unanswered_at + timing.order_timeout_s + _RESPONSIVE_S
    )
