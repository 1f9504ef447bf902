"""Sends recorded orders to engines and reads the states of engines."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Final

import aiohttp
from returns.maybe import Maybe, Nothing

from verbenahall import wire
from verbenahall.clock import Clock, monotonic
from verbenahall.fleet import Endpoint
from verbenahall.orders._dispatch import Dispatch
from verbenahall.orders._failures import record_outcome
from verbenahall.orders._lease_body import LeaseBody
from verbenahall.orders._messages import (
    EngineReport,
    Order,
    OrderTiming,
    decode_report,
    encode_target,
)
from verbenahall.orders._outcomes import OUTCOMES, Outcome

_MILLISECONDS: Final = 1000
_STATE_LIMIT_BYTES: Final = 262_144


class OrderSender:
    """Client for the order protocol of engines.

    ``get_token(now)`` returns the fencing token while the lease is held, and
    None otherwise. Each order is sent on a new connection, so that it does not
    wait behind other data.
    """

    def __init__(
        self,
        get_token: Callable[[float], int | None],
        timing: OrderTiming,
        clock: Clock = monotonic,
        on_state: Callable[[dict[str, Any]], object] = bool,
    ) -> None:
        """Create the sender; the session is opened by the first call.

        ``on_state`` is called with the decoded body of each state that is read
        from an engine.
        """
        self._on_state = on_state
        self._get_token = get_token
        self._timing = timing
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def send(self, order: Order, endpoint: Endpoint) -> Outcome:
        """Send one order under the current fencing token.

        The caller must not have two calls for one engine at a time.
        """
        token = self._get_token(self._clock())
        if token is None:
            return Outcome.NOT_SENT
        body = LeaseBody(
            _encode_order(order, token),
            lambda: self._get_token(self._clock()) == token,
        )
        url = f'http://{endpoint.address}/orders'
        try:
            async with self._open_session().post(url, data=body) as answer:
                return OUTCOMES.get(answer.status, Outcome.REFUSED)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Outcome.UNKNOWN if body.written else Outcome.NOT_SENT

    async def read_state(self, endpoint: Endpoint) -> Maybe[EngineReport]:
        """Read an engine's state; return Nothing if there is no valid one."""
        url = f'http://{endpoint.address}/state'
        try:
            async with self._open_session().get(url) as answer:
                body = await answer.content.read(_STATE_LIMIT_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Nothing
        decoded = wire.decode_table(body)
        decoded.map(self._on_state)
        return decoded.map(decode_report).value_or(Nothing)

    async def close(self) -> None:
        """Close the session; calls in progress fail."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    force_close=True,
                    limit=0,
                    socket_factory=self._open_socket,
                ),
                timeout=aiohttp.ClientTimeout(
                    total=self._timing.order_timeout_s,
                ),
            )
        return self._session

    def _open_socket(self, address_info: Any) -> socket.socket:
        """Open a socket with a TCP user timeout of the order timeout.

        Without it the kernel would retransmit an order for minutes to an
        engine behind a network partition and deliver it after the partition
        has ended, long after another holder has taken the lease.
        """
        family, kind, protocol = address_info[:3]
        opened = socket.socket(family, kind, protocol)
        opened.setblocking(False)
        opened.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self._timing.order_timeout_s * _MILLISECONDS),
        )
        return opened


async def send_and_record(
    sender: OrderSender,
    dispatch: Dispatch,
    order: Order,
    endpoint: Endpoint,
    clock: Clock,
) -> Outcome:
    """Send an order and record its outcome, also after an exception.

    Otherwise a send that ended with an unexpected exception would count as in
    progress for good, and its engine would get no other order.
    """
    outcome = Outcome.UNKNOWN
    try:
        outcome = await sender.send(order, endpoint)
    finally:
        record_outcome(dispatch, order, outcome, clock())
    return outcome


def _encode_order(order: Order, token: int) -> bytes:
    return wire.encode(
        {
            'order': order.number,
            'fencing': token,
            'target': encode_target(order.target),
        },
    )
