"""Talks to the engines of one data centre: asks states, sends orders."""

import heapq
import math
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
    send_and_record,
)
from verbenahall.rollout._decision_log import SentOrderLog
from verbenahall.rollout._tasks import Tasks
from verbenahall.rollout._views import Member

#: How often an engine is asked for its state, with and without an order.
_BUSY_PERIOD_S: Final = 0.2
_IDLE_PERIOD_S: Final = 2.0
#: An answer is about half a kilobyte: two a second are 1 kB/s.
_IDLE_SPACING_S: Final = 0.5
#: A new holder must hear every engine; not all of them in one moment.
_AT_ONCE: Final = 8
_MOST_KEPT: Final = 4096


class EngineClient:
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
        self._asked_at: dict[tuple[str, str], float] = {}
        self._idle_at = -math.inf
        self._sent = SentOrderLog()

    def poll_states(
        self,
        members: Sequence[Member],
        now: float,
        busy: set[str],
        *,
        holds_lease: bool,
    ) -> None:
        """Ask the engines that are due; without the lease only ``busy``.

        Engines without an order are asked one at a time, so that what the
        holder reads does not grow with the data centre.
        """
        wanted = [
            endpoint
            for endpoint, _ in members
            if holds_lease or endpoint.name in busy
        ]
        hurried = [one for one in wanted if self._is_hurried(one, busy)]
        for endpoint in self._choose(hurried, _AT_ONCE, now - _BUSY_PERIOD_S):
            self._start_asking(endpoint, now)
        if now >= self._idle_at:
            self._idle_at = now + _IDLE_SPACING_S
            rested = [one for one in wanted if one not in hurried]
            for idle in self._choose(rested, 1, now - _IDLE_PERIOD_S):
                self._start_asking(idle, now)

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

    def _is_hurried(self, endpoint: Endpoint, busy: set[str]) -> bool:
        cleared = self._dispatch.find_track(endpoint.name).cleared
        return endpoint.name in busy or not cleared

    def _choose(
        self,
        endpoints: Sequence[Endpoint],
        count: int,
        before: float,
    ) -> list[Endpoint]:
        """Return those not asked since ``before``, the longest ago first."""
        return heapq.nsmallest(
            count,
            (one for one in endpoints if self._read_asked(one) <= before),
            key=self._read_asked,
        )

    def _read_asked(self, endpoint: Endpoint) -> float:
        return self._asked_at.get(_identify(endpoint), -math.inf)

    def _start_asking(self, endpoint: Endpoint, now: float) -> None:
        if len(self._asked_at) >= _MOST_KEPT:
            # Lives that have ended leave their entries behind; all are soon
            # asked anew.
            self._asked_at.clear()
        self._asked_at[_identify(endpoint)] = now
        self._tasks.start(f'ask {endpoint.name}', self._ask(endpoint))

    async def _ask(self, endpoint: Endpoint) -> None:
        asked_at = self._clock()
        found = await self._sender.read_state(endpoint)
        report = found.value_or(None)
        # Another engine may have come under this address.
        if report is not None and report.name == endpoint.name:
            observe_report(self._orders, report, asked_at)

    async def _send(self, order: Order, endpoint: Endpoint) -> None:
        report = self._orders.reports[order.engine]
        outcome = await send_and_record(
            self._sender,
            self._dispatch,
            order,
            endpoint,
            self._clock,
        )
        self._sent.log(order, outcome, report.holding.role)


def _identify(endpoint: Endpoint) -> tuple[str, str]:
    """Name one life of an engine; a new one has not been asked yet."""
    return endpoint.name, endpoint.incarnation
