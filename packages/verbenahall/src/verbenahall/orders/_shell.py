"""Sends recorded orders to engines and reads engines' states back."""

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
from verbenahall.orders._failures import note_outcome
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
    """Speaks the engine's order protocol on connections of its own.

    ``held(now)`` returns the fencing token while the lease is held. Each
    order gets a fresh connection, so that no order waits behind other bytes.
    """

    def __init__(
        self,
        held: Callable[[float], int | None],
        timing: OrderTiming,
        clock: Clock = monotonic,
        heard: Callable[[dict[str, Any]], object] = bool,
    ) -> None:
        """Prepare; the session is opened by the first call.

        ``heard`` is given each state that an engine tells, for others who
        want to know it as soon.
        """
        self._heard = heard
        self._held = held
        self._timing = timing
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None

    async def send(self, order: Order, endpoint: Endpoint) -> Outcome:
        """Send one order under the token now held.

        The caller never has two calls for the same engine at once.
        """
        token = self._held(self._clock())
        if token is None:
            return Outcome.NOT_SENT
        body = LeaseBody(
            _encode_order(order, token),
            lambda: self._held(self._clock()) == token,
        )
        url = f'http://{endpoint.address}/orders'
        try:
            async with self._open_session().post(url, data=body) as answer:
                return OUTCOMES.get(answer.status, Outcome.REFUSED)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Outcome.UNKNOWN if body.written else Outcome.NOT_SENT

    async def read_state(self, endpoint: Endpoint) -> Maybe[EngineReport]:
        """Ask an engine for its state; Nothing if it did not answer."""
        url = f'http://{endpoint.address}/state'
        try:
            async with self._open_session().get(url) as answer:
                body = await answer.content.read(_STATE_LIMIT_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Nothing
        decoded = wire.decode_table(body)
        decoded.map(self._heard)
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

    def _open_socket(self, address: Any) -> socket.socket:
        """Open a socket whose unacknowledged bytes die with the timeout.

        Without it the kernel would go on resending an order for minutes to
        an engine that a partition hides, and deliver it when the partition
        heals, long after a successor took over.
        """
        family, kind, protocol = address[:3]
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
    """Send an order and note its outcome, whatever happens on the way.

    A send that ended by an error nobody foresaw would otherwise count as
    under way for ever, and its engine would get no other order.
    """
    outcome = Outcome.UNKNOWN
    try:
        outcome = await sender.send(order, endpoint)
    finally:
        note_outcome(dispatch, order, outcome, clock())
    return outcome


def _encode_order(order: Order, token: int) -> bytes:
    return wire.encode(
        {
            'order': order.number,
            'fencing': token,
            'target': encode_target(order.target),
        },
    )
