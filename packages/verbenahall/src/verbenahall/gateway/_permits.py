"""Rate limits of endpoints, enforced together with the peers.

An endpoint can advertise the rate of requests that it accepts from all
instances. Before each send to it an instance obtains a permit from the limiter
of that endpoint. The limiter is one of the instances, and each instance chooses
it by the same ranking of its peers, so they usually choose the same one.
"""

import asyncio
import itertools
from typing import Final, final

from returns.maybe import Maybe, Some

from verbenahall import journal, metrics, throttling
from verbenahall.gateway._core import Core
from verbenahall.peers import PeerExchange
from verbenahall.platform import AnswerHead
from verbenahall.requests import Limited
from verbenahall.roster import Entry, format_incarnation

#: Timeout of a permit request to a peer, in seconds; after it the request is
#: sent to another endpoint.
_RESPONSE_TIMEOUT_S: Final = 0.1
#: Share of a request's remaining time for which it may wait for a permit if no
#: other endpoint can take it.
_MAX_WAIT_SHARE: Final = 0.5
#: Wait before a retry, in seconds, if no limiter responded.
_RETRY_AFTER_S: Final = 0.25
#: Interval at which rates are announced again, in seconds: datagrams get lost,
#: and an instance that has just started has no rates.
_ANNOUNCE_INTERVAL_S: Final = 1.0

PermitResponse = throttling.Permit | throttling.Denial


@final
class DistributedRateLimiter:
    """Enforces the rates that endpoints advertise, together with the peers."""

    __slots__ = (
        '_core',
        '_exchange',
        '_next_handler',
        '_pending',
        '_request_ids',
        '_table',
    )

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Install the limiter in the core and its handler in the exchange."""
        self._core = core
        self._exchange = exchange
        self._next_handler = exchange.datagram_handler
        self._request_ids = itertools.count()
        self._table = core.rates
        self._pending: dict[int, asyncio.Future[PermitResponse]] = {}
        core.limiter = self
        exchange.datagram_handler = self.handle_datagram

    async def run(self) -> None:
        """Announce the rates that this instance limits, until cancelled."""
        while True:
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)
            local_name = Some(self._core.peer_table.name)
            for endpoint in _list_limited(self._core):
                incarnation = format_incarnation(endpoint)
                if self._find_limiter(endpoint) == local_name:
                    rate = self._table.rates[incarnation].rate
                    self._broadcast(throttling.RateNotice(incarnation, rate))

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Wait for a permit; return Limited if that would take too long."""
        incarnation = format_incarnation(endpoint)
        current = self._table.rates.get(incarnation)
        if current is None:
            return None
        # A request that another endpoint can take doesn't wait for a permit.
        has_alternative = self._core.endpoints.has_alternative(
            endpoint, self._core.now()
        )
        longest_s = 0 if has_alternative else left_s * _MAX_WAIT_SHARE
        response = await self._request_permit(
            endpoint,
            throttling.PermitRequest(
                next(self._request_ids),
                incarnation,
                current.rate,
                longest_s,
            ),
        )
        match response:
            case throttling.Permit(wait_s=wait_s):
                metrics.PERMITS.add('permitted')
                await asyncio.sleep(wait_s)
                return None
            case throttling.Denial(wait_s=wait_s):
                metrics.PERMITS.add('denied')
                self._core.endpoint_health.record_refusal(
                    endpoint.name,
                    self._core.now(),
                    wait_s,
                )
                return Limited(wait_s)

    def record_answer(
        self,
        endpoint: Entry,
        answer_head: AnswerHead,
        sent_at: float,
    ) -> None:
        """Record the rate that a response advertises, or that it has none."""
        if answer_head.misdirected:
            return
        incarnation = format_incarnation(endpoint)
        if not answer_head.rates:
            if throttling.record_no_rate(self._table, incarnation, sent_at):
                self._announce_change(incarnation, 0, 'none')
            return
        match throttling.read_rate(answer_head.rates):
            case Some(rate):
                now = self._core.now()
                if throttling.record_rate(self._table, incarnation, rate, now):
                    self._announce_change(incarnation, rate, answer_head.rates)
            case _:
                journal.write_decision(
                    'rate_unreadable',
                    endpoint=incarnation,
                    named=answer_head.rates,
                )

    def handle_datagram(self, datagram: bytes, sender: str) -> bool:
        """Handle a message about rates; pass other datagrams on."""
        found = throttling.decode(datagram)
        if isinstance(found, Some):
            self._handle_message(found.unwrap(), sender)
            return True
        return self._next_handler(datagram, sender)

    def _handle_message(self, message: throttling.Message, sender: str) -> None:
        now = self._core.now()
        match message:
            case throttling.PermitRequest():
                response = self._grant_permit(message)
                self._exchange.send(throttling.encode(response), sender)
            case throttling.Permit() | throttling.Denial():
                future = self._pending.get(message.key)
                if future is not None and not future.done():
                    future.set_result(message)
            case throttling.RateNotice():
                if throttling.apply_notice(self._table, message, now):
                    journal.write_decision(
                        'rate_heard',
                        endpoint=message.endpoint,
                        rate=message.rate,
                        source=sender,
                    )

    async def _request_permit(
        self,
        endpoint: Entry,
        request: throttling.PermitRequest,
    ) -> PermitResponse:
        match self._find_limiter(endpoint):
            case Some(self._core.peer_table.name):
                return self._grant_permit(request)
            case Some(name):
                return await self._request_from_peer(name, request)
            case _:
                return throttling.Denial(request.key, _RETRY_AFTER_S)

    async def _request_from_peer(
        self,
        name: str,
        request: throttling.PermitRequest,
    ) -> PermitResponse:
        future = asyncio.get_running_loop().create_future()
        self._pending[request.key] = future
        peer = self._core.peer_table.peers[name]
        self._exchange.send(throttling.encode(request), peer.address)
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                return await future
        except TimeoutError:
            self._table.timed_out_at[name] = self._core.now()
            journal.write_decision(
                'no_permit',
                endpoint=request.endpoint,
                asked=name,
            )
            return throttling.Denial(request.key, _RETRY_AFTER_S)
        finally:
            self._pending.pop(request.key)

    def _grant_permit(
        self, request: throttling.PermitRequest
    ) -> PermitResponse:
        now = self._core.now()
        share = throttling.find_rate_share(self._core.peer_table, now)
        return throttling.grant_permit(self._table, request, share, now)

    def _find_limiter(self, endpoint: Entry) -> Maybe[str]:
        return throttling.choose_limiter(
            self._table,
            self._core.peer_table,
            format_incarnation(endpoint),
            endpoint.data_centre,
            self._core.now(),
        )

    def _announce_change(
        self, incarnation: str, rate: float, advertised: object
    ) -> None:
        """Log a changed rate and send it to the peers.

        ``advertised`` is the rate as written in the response, or ``none``.
        """
        journal.write_decision(
            'rate_named',
            endpoint=incarnation,
            rate=rate,
            named=advertised,
        )
        self._broadcast(throttling.RateNotice(incarnation, rate))

    def _broadcast(self, notice: throttling.RateNotice) -> None:
        datagram = throttling.encode(notice)
        for peer in self._core.peer_table.peers.values():
            self._exchange.send(datagram, peer.address)


def _list_limited(core: Core) -> list[Entry]:
    """Return the endpoints that advertise a rate."""
    if not core.rates.rates:
        return []
    return [
        listing.entry
        for listing in core.roster.listings.values()
        if core.rates.is_limited(format_incarnation(listing.entry))
    ]
