"""Asks before a send to an endpoint that names a rate, and gives permits."""

import asyncio
import itertools
from typing import Final, final

from returns.maybe import Maybe, Some

from verbenahall import journal, metrics, throttling
from verbenahall.gateway._core import Core
from verbenahall.gateway._hooks import name_start
from verbenahall.peers import PeerExchange
from verbenahall.platform import AnswerFacts
from verbenahall.requests import Limited
from verbenahall.roster import Entry

#: The instance that gives permits answers within this time, in seconds, or the
#: request goes elsewhere.
_ANSWER_S: Final = 0.1
#: Share of the time left for which a request waits for its turn at the only
#: endpoint there is.
_WAIT_SHARE: Final = 0.5
#: When a send without an answer may be tried again, in seconds.
_AGAIN_S: Final = 0.25
#: How often rates are told again, in seconds: datagrams get lost, and an
#: instance that starts knows none.
_EVERY_S: Final = 1.0

Verdict = throttling.Permit | throttling.Denial


@final
class Permits:
    """Keeps the rates that endpoints name, together with the peers."""

    __slots__ = (
        '_core',
        '_exchange',
        '_hear_other',
        '_keys',
        '_table',
        '_waits',
    )

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Speak through the exchange between peers."""
        self._core = core
        self._exchange = exchange
        self._hear_other = exchange.hear_other
        self._keys = itertools.count()
        self._table = core.rates
        self._waits: dict[int, asyncio.Future[Verdict]] = {}
        core.limiter = self
        exchange.hear_other = self.hear

    async def run(self) -> None:
        """Tell the rates again, until cancelled."""
        while True:
            await asyncio.sleep(_EVERY_S)
            own = Some(self._core.book.name)
            for endpoint in _list_limited(self._core):
                start = name_start(endpoint)
                if self._find_limiter(endpoint) == own:
                    rate = self._table.rates[start].rate
                    self._tell(throttling.RateNotice(start, rate))

    async def acquire(self, endpoint: Entry, left_s: float) -> Limited | None:
        """Wait until a request may leave; Limited if that takes too long."""
        start = name_start(endpoint)
        known = self._table.rates.get(start)
        if known is None:
            return None
        # With another endpoint left there is nothing to wait for.
        others = self._core.has_other(endpoint, self._core.now())
        longest_s = 0 if others else left_s * _WAIT_SHARE
        verdict = await self._ask(
            endpoint,
            throttling.PermitRequest(
                next(self._keys),
                start,
                known.rate,
                longest_s,
            ),
        )
        match verdict:
            case throttling.Permit(wait_s=wait_s):
                metrics.PERMITS.add('permitted')
                await asyncio.sleep(wait_s)
                return None
            case throttling.Denial(wait_s=wait_s):
                metrics.PERMITS.add('denied')
                self._core.standings.note_refusal(
                    endpoint.name,
                    self._core.now(),
                    wait_s,
                )
                return Limited(wait_s)

    def note_answer(
        self,
        endpoint: Entry,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Note the rate that an answer names, or that it names none."""
        if facts.misdirected:
            return
        start = name_start(endpoint)
        if not facts.rates:
            if throttling.note_no_rate(self._table, start, sent_at):
                self._spread(start, 0, 'none')
            return
        match throttling.read_rate(facts.rates):
            case Some(rate):
                now = self._core.now()
                if throttling.note_rate(self._table, start, rate, now):
                    self._spread(start, rate, facts.rates)
            case _:
                journal.write_decision(
                    'rate_unreadable',
                    endpoint=start,
                    named=facts.rates,
                )

    def hear(self, datagram: bytes, sender: str) -> bool:
        """Take a message on rates; other datagrams are passed on."""
        found = throttling.decode(datagram)
        if isinstance(found, Some):
            self._receive(found.unwrap(), sender)
            return True
        return self._hear_other(datagram, sender)

    def _receive(self, message: throttling.Message, sender: str) -> None:
        now = self._core.now()
        match message:
            case throttling.PermitRequest():
                verdict = self._permit(message)
                self._exchange.send(throttling.encode(verdict), sender)
            case throttling.Permit() | throttling.Denial():
                wait = self._waits.get(message.key)
                if wait is not None and not wait.done():
                    wait.set_result(message)
            case throttling.RateNotice():
                if throttling.take_notice(self._table, message, now):
                    journal.write_decision(
                        'rate_heard',
                        endpoint=message.endpoint,
                        rate=message.rate,
                        source=sender,
                    )

    async def _ask(
        self,
        endpoint: Entry,
        request: throttling.PermitRequest,
    ) -> Verdict:
        match self._find_limiter(endpoint):
            case Some(self._core.book.name):
                return self._permit(request)
            case Some(name):
                return await self._ask_peer(name, request)
            case _:
                return throttling.Denial(request.key, _AGAIN_S)

    async def _ask_peer(
        self,
        name: str,
        request: throttling.PermitRequest,
    ) -> Verdict:
        wait = asyncio.get_running_loop().create_future()
        self._waits[request.key] = wait
        peer = self._core.book.peers[name]
        self._exchange.send(throttling.encode(request), peer.address)
        try:
            async with asyncio.timeout(_ANSWER_S):
                return await wait
        except TimeoutError:
            self._table.silent[name] = self._core.now()
            journal.write_decision(
                'no_permit',
                endpoint=request.endpoint,
                asked=name,
            )
            return throttling.Denial(request.key, _AGAIN_S)
        finally:
            self._waits.pop(request.key)

    def _permit(self, request: throttling.PermitRequest) -> Verdict:
        now = self._core.now()
        share = throttling.find_share(self._core.book, now)
        return throttling.permit(self._table, request, share, now)

    def _find_limiter(self, endpoint: Entry) -> Maybe[str]:
        return throttling.choose_limiter(
            self._table,
            self._core.book,
            name_start(endpoint),
            endpoint.data_centre,
            self._core.now(),
        )

    def _spread(self, start: str, rate: float, named: object) -> None:
        """Write a line for a change, and tell the peers."""
        journal.write_decision(
            'rate_named',
            endpoint=start,
            rate=rate,
            named=named,
        )
        self._tell(throttling.RateNotice(start, rate))

    def _tell(self, notice: throttling.RateNotice) -> None:
        datagram = throttling.encode(notice)
        for peer in self._core.book.peers.values():
            self._exchange.send(datagram, peer.address)


def _list_limited(core: Core) -> list[Entry]:
    """Return the endpoints that name a rate."""
    if not core.rates.rates:
        return []
    return [
        seat.entry
        for seat in core.roster.seats.values()
        if core.rates.is_limited(name_start(seat.entry))
    ]
