"""When a lease holder sends which order to which engine."""

from typing import Final

from verbenahall.authority import Grant
from verbenahall.fleet import Endpoint
from verbenahall.orders._decisions import find_send_gate
from verbenahall.orders._messages import Order, OrderTiming
from verbenahall.orders._progress import Progress, find_progress
from verbenahall.orders._state import OrdersState

#: How long an engine must have gone on answering before its state, read
#: back by a new holder, is believed.
_SETTLE_S: Final = 0.5
#: An order goes out only soon after its engine told its incarnation, so that
#: another process under the same address does not get it.
_FRESH_S: Final = 1.0


class Track:
    """What a holder knows of its sending to one engine.

    ``read_back`` is when the engine's state was first read after the gate
    opened. ``doubt`` is the number of an order that was written without an
    answer, at ``doubt_at``. ``refusals`` counts tries in a row that brought
    nothing, and ``failed`` is the number of the last order that the engine
    took and did not fulfil.
    """

    __slots__ = (
        'cleared',
        'doubt',
        'doubt_at',
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
        self.doubt = ''
        self.doubt_at = -float('inf')


class Dispatch:
    """One process's sending under one fencing token.

    ``granted_at`` is when this process learnt that it holds ``token``.
    """

    __slots__ = ('grant', 'granted_at', 'timing', 'tracks')

    def __init__(self, timing: OrderTiming) -> None:
        """Start without a token."""
        self.timing = timing
        self.grant: Grant | None = None
        self.granted_at = -float('inf')
        self.tracks: dict[str, Track] = {}

    def find_track(self, engine: str) -> Track:
        """Return the engine's track, a new one if there is none."""
        return self.tracks.setdefault(engine, Track())


def take_over(dispatch: Dispatch, grant: Grant, now: float) -> None:
    """Start over if this process holds a token that it did not hold before."""
    if dispatch.grant is not None and dispatch.grant.token == grant.token:
        return
    dispatch.grant = grant
    dispatch.granted_at = now
    for track in dispatch.tracks.values():
        track.cleared = False
        track.read_back = None


def is_cleared(
    dispatch: Dispatch,
    state: OrdersState,
    endpoint: Endpoint,
) -> bool:
    """Tell whether this holder may order the engine yet.

    Without this wait, an order that an earlier holder wrote just before its
    lease ended could reach an engine that ignores tokens after this holder's
    own, and take effect last.
    """
    track = dispatch.find_track(endpoint.name)
    if not track.cleared:
        track.cleared = _passes_gate(dispatch, state, endpoint, track)
    return track.cleared


def _passes_gate(
    dispatch: Dispatch,
    state: OrdersState,
    endpoint: Endpoint,
    track: Track,
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
    # One answer proves that the engine is awake; only a later one that it
    # has also gone through what lay unread in its connections.
    if track.read_back is None:
        track.read_back = reported_at
    return reported_at >= track.read_back + _SETTLE_S


def may_send(
    dispatch: Dispatch,
    state: OrdersState,
    order: Order,
    endpoint: Endpoint,
    now: float,
) -> bool:
    """Tell whether ``order`` may go to its engine at ``now``."""
    track = dispatch.find_track(order.engine)
    if track.sending or now < track.retry_at:
        return False
    report = state.reports.get(order.engine)
    reported_at = state.reported_at.get(order.engine, -float('inf'))
    if report is None or now - reported_at > _FRESH_S:
        return False
    if find_progress(order, report) is not Progress.UNCONFIRMED:
        return False
    if not is_cleared(dispatch, state, endpoint):
        return False
    return endpoint.checks_fencing or _is_doubtless(
        dispatch.timing,
        track,
        order,
        reported_at,
    )


def _is_doubtless(
    timing: OrderTiming,
    track: Track,
    order: Order,
    reported_at: float,
) -> bool:
    """Tell whether no other order can still reach an engine.

    An engine that ignores numbers would carry out an older order after a
    newer one, if the older was written without an answer and lies in a
    connection; the newer waits until that connection is surely dead and the
    engine has answered since.
    """
    if track.doubt in {'', order.number}:
        return True
    return reported_at >= track.doubt_at + timing.order_timeout_s + _SETTLE_S
