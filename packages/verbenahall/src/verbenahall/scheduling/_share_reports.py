"""Reports charged engine time to the schedulers of other data centres."""

from collections.abc import Iterator, Sequence
from typing import Final, final

from verbenahall.fair_shares import FairShares
from verbenahall.peers import (
    PeerExchange,
    PeerTable,
    ShareReport,
    encode_shares,
    is_local_only,
)
from verbenahall.roster import Entry
from verbenahall.scheduling._groups import (
    is_local,
    list_groups,
    rank_schedulers,
)

#: Interval of the reports, in seconds; a little under the two ticks of 0.5 s
#: after which one is due, so that rounding skips none.
_REPORT_S: Final = 0.9


@final
class ShareReporter:
    """Sends charges to schedulers that get none of this one's heartbeats."""

    __slots__ = ('_exchange', '_fair_shares', '_peer_table', '_sent_at')

    def __init__(
        self,
        exchange: PeerExchange,
        fair_shares: FairShares,
        peer_table: PeerTable,
    ) -> None:
        """Report what is charged in ``fair_shares``."""
        self._exchange = exchange
        self._fair_shares = fair_shares
        self._peer_table = peer_table
        self._sent_at: dict[str, float] = {}

    def report(
        self, service: str, engines: Sequence[Entry], now: float
    ) -> None:
        """Send a report if one is due; to be called while requests wait.

        ``engines`` are those of the service that they wait for.
        """
        sent_at = self._sent_at.get(service, -_REPORT_S)
        if now - sent_at < _REPORT_S or not is_local_only(self._peer_table):
            return
        charged = self._fair_shares.export(now)
        if charged:
            self._sent_at[service] = now
            datagram = encode_shares(
                ShareReport(self._peer_table.name, charged)
            )
            for address in self._list_recipients(engines, now):
                self._exchange.send(datagram, address)

    def _list_recipients(
        self, engines: Sequence[Entry], now: float
    ) -> Iterator[str]:
        """Yield the first scheduler of each group in another data centre."""
        names = {
            name
            for group in list_groups(engines)
            if not is_local(group, self._peer_table)
            for name in rank_schedulers(group, self._peer_table, now)[:1]
        }
        for scheduler in names:
            yield self._peer_table.peers[scheduler].address
