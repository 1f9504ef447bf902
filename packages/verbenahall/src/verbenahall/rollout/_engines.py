"""Talks to the engines of one data centre: asks states, sends orders."""

from collections.abc import Sequence
from typing import Final

from verbenahall.clock import Clock
from verbenahall.fleet import Endpoint
from verbenahall.orders import (
    Dispatch,
    Order,
    OrderSender,
    OrdersState,
    may_send,
    note_sending,
    observe_report,
    send_noted,
)
from verbenahall.rollout._lines import tell_sent
from verbenahall.rollout._tasks import Tasks
from verbenahall.rollout._views import Member

#: How often an engine is asked for its state, with and without an order.
_BUSY_PERIOD_S: Final = 0.2
_IDLE_PERIOD_S: Final = 2.0


class EngineTalk:
    """Asks and orders engines, each of them by one task at a time."""

    def __init__(
        self,
        orders: OrdersState,
        dispatch: Dispatch,
        sender: OrderSender,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._orders = orders
        self._dispatch = dispatch
        self._sender = sender
        self._tasks = tasks
        self._clock = clock
        self._asked_at: dict[str, float] = {}

    def ask_states(
        self,
        members: Sequence[Member],
        now: float,
        busy: set[str],
        *,
        leading: bool,
    ) -> None:
        """Ask the engines that are due; without the lease only ``busy``."""
        for endpoint, _ in members:
            if not leading and endpoint.name not in busy:
                continue
            asked_at = self._asked_at.get(endpoint.name, -float('inf'))
            if now - asked_at >= self._find_period(endpoint, busy):
                self._asked_at[endpoint.name] = now
                self._tasks.start(f'ask {endpoint.name}', self._ask(endpoint))

    def send_due(
        self,
        members: Sequence[Member],
        due: Sequence[Order],
        now: float,
    ) -> None:
        """Send each order whose engine may have it now."""
        endpoints = {endpoint.name: endpoint for endpoint, _ in members}
        for order in due:
            endpoint = endpoints.get(order.engine)
            if endpoint is None:
                continue
            if may_send(self._dispatch, self._orders, order, endpoint, now):
                note_sending(self._dispatch, order)
                work = self._send(order, endpoint)
                self._tasks.start(f'send {order.engine}', work)

    def _find_period(self, endpoint: Endpoint, busy: set[str]) -> float:
        cleared = self._dispatch.find_track(endpoint.name).cleared
        if endpoint.name in busy or not cleared:
            return _BUSY_PERIOD_S
        return _IDLE_PERIOD_S

    async def _ask(self, endpoint: Endpoint) -> None:
        asked_at = self._clock()
        found = await self._sender.read_state(endpoint)
        report = found.value_or(None)
        # Another engine may have come under this address.
        if report is not None and report.name == endpoint.name:
            observe_report(self._orders, report, asked_at)

    async def _send(self, order: Order, endpoint: Endpoint) -> None:
        report = self._orders.reports[order.engine]
        outcome = await send_noted(
            self._sender,
            self._dispatch,
            order,
            endpoint,
            self._clock,
        )
        tell_sent(order, outcome, report.holding.role)
