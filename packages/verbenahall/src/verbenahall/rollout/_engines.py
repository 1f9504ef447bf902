"""Polls the states of the engines of a data centre and sends them orders."""

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
    record_report,
    record_sending,
    send_and_record,
)
from verbenahall.rollout._decision_log import SentOrderLog
from verbenahall.rollout._tasks import Tasks
from verbenahall.rollout._views import Member

#: Polling intervals in seconds of engines with and without an outstanding
#: order.
_BUSY_PERIOD_S: Final = 0.2
_IDLE_PERIOD_S: Final = 2.0
#: Interval in seconds between polls of engines without an order. A response
#: has about half a kilobyte, so these polls receive 1 kB/s.
_IDLE_SPACING_S: Final = 0.5
#: Maximum number of engines polled at the same time; a new holder has to poll
#: all engines.
_MAX_PARALLEL_POLLS: Final = 8
_MAX_POLL_TIMES: Final = 4096


class EngineClient:
    """Polls engines and sends them orders, in background tasks."""

    def __init__(
        self,
        orders: OrdersState,
        dispatch: Dispatch,
        sender: OrderSender,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        """Create the client; nothing is sent yet."""
        self._orders = orders
        self._dispatch = dispatch
        self._sender = sender
        self._tasks = tasks
        self._clock = clock
        self._polled_at: dict[tuple[str, str], float] = {}
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
        """Poll the engines that are due; without the lease only ``busy``.

        ``busy`` holds the names of engines with an outstanding order. Engines
        without one are polled one at a time, so that the data that the holder
        reads does not grow with the size of the data centre.
        """
        wanted = [
            endpoint
            for endpoint, _ in members
            if holds_lease or endpoint.name in busy
        ]
        fast = [one for one in wanted if self._is_polled_fast(one, busy)]
        for endpoint in self._list_due(
            fast, _MAX_PARALLEL_POLLS, now - _BUSY_PERIOD_S
        ):
            self._start_poll(endpoint, now)
        if now >= self._idle_at:
            self._idle_at = now + _IDLE_SPACING_S
            slow = [one for one in wanted if one not in fast]
            for idle in self._list_due(slow, 1, now - _IDLE_PERIOD_S):
                self._start_poll(idle, now)

    def send_due(
        self,
        members: Sequence[Member],
        due: Sequence[Order],
        now: float,
    ) -> None:
        """Send each order that may be sent to its engine now."""
        endpoints = {endpoint.name: endpoint for endpoint, _ in members}
        for order in due:
            endpoint = endpoints.get(order.engine)
            if endpoint is None:
                continue
            if may_send(self._dispatch, self._orders, order, endpoint, now):
                record_sending(self._dispatch, order)
                work = self._send(order, endpoint)
                self._tasks.start(f'send {order.engine}', work)

    def _is_polled_fast(self, endpoint: Endpoint, busy: set[str]) -> bool:
        cleared = self._dispatch.find_sends(endpoint.name).cleared
        return endpoint.name in busy or not cleared

    def _list_due(
        self,
        endpoints: Sequence[Endpoint],
        count: int,
        before: float,
    ) -> list[Endpoint]:
        """Return endpoints not polled since ``before``, longest ago first."""
        return heapq.nsmallest(
            count,
            (one for one in endpoints if self._get_polled_at(one) <= before),
            key=self._get_polled_at,
        )

    def _get_polled_at(self, endpoint: Endpoint) -> float:
        return self._polled_at.get(_make_key(endpoint), -math.inf)

    def _start_poll(self, endpoint: Endpoint, now: float) -> None:
        if len(self._polled_at) >= _MAX_POLL_TIMES:
            # Entries of ended incarnations are never removed one by one. With
            # no entry left, all engines are soon polled again.
            self._polled_at.clear()
        self._polled_at[_make_key(endpoint)] = now
        self._tasks.start(f'poll {endpoint.name}', self._poll(endpoint))

    async def _poll(self, endpoint: Endpoint) -> None:
        polled_at = self._clock()
        found = await self._sender.read_state(endpoint)
        report = found.value_or(None)
        # Another engine may have started at this address.
        if report is not None and report.name == endpoint.name:
            record_report(self._orders, report, polled_at)

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


def _make_key(endpoint: Endpoint) -> tuple[str, str]:
    """Return a key for one incarnation of an engine."""
    return endpoint.name, endpoint.incarnation
