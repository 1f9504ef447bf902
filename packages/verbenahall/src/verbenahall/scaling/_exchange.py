"""Sums up the demand of all instances at the holder of the duty.

In a small fleet the holder gets the demand of each instance by its heartbeats.
In a large one heartbeats stay within a data centre, so one instance of each
data centre sends the sum to the holder.
"""

import collections
from collections.abc import Iterator
from typing import Final, final

from returns.maybe import Some

from verbenahall import journal
from verbenahall.capacity import (
    Demands,
    DemandSum,
    DemandTable,
    add_tables,
    decode_sum,
    encode_sum,
)
from verbenahall.peers import is_local_only, list_live_peers
from verbenahall.routing import rank_by_rendezvous
from verbenahall.scaling._dependencies import Dependencies

#: Name by which instances of a data centre are ranked for sending its sum.
_DUTY: Final = 'demand'
#: A peer without a heartbeat for this long no longer counts, in seconds: two
#: of the longest intervals between heartbeats, and one that got lost.
_LIVE_S: Final = 2.0
#: Interval at which the sender of sums reads who holds the duty, in seconds:
#: with 15 data centres the store gets three reads per second.
_LEASE_INTERVAL_S: Final = 5.0


@final
class DemandExchange:
    """Counts the demand here, and gathers that of all data centres."""

    __slots__ = (
        'table',
        '_dependencies',
        '_lease_read_at',
        '_next_handler',
        '_unknown_holder',
    )

    def __init__(self, dependencies: Dependencies) -> None:
        """Register for the heartbeats and datagrams between instances."""
        self.table = DemandTable()
        self._lease_read_at = -float('inf')
        self._next_handler = dependencies.exchange.datagram_handler
        self._unknown_holder = ''
        self._dependencies = dependencies
        dependencies.exchange.get_demand = self.read_local
        dependencies.exchange.datagram_handler = self.handle_datagram

    def handle_datagram(self, datagram: bytes, sender: str) -> bool:
        """Record the sum of a data centre; pass other datagrams on."""
        match decode_sum(datagram):
            case Some(demand_sum):
                self.table.record(demand_sum, self._dependencies.now())
                return True
            case _:
                return self._next_handler(datagram, sender)

    def read_local(self) -> Demands:
        """Return the demand that this instance counts, by service."""
        if not self._dependencies.list_services():
            return {}
        return self._dependencies.meter.read(
            self._count_streams(), self._dependencies.now()
        )

    async def step(self) -> None:
        """Sum up the demand, and send the sum if this instance is to do so.

        The lease is read here as well, so this must not run at the same time as
        a claim or renewal.
        """
        now = self._dependencies.now()
        if is_local_only(self._dependencies.peer_table):
            await self._report(now)
        else:
            self._record_all(now)

    def _record_all(self, now: float) -> None:
        """Record the sum of each data centre, by the peers' heartbeats."""
        by_centre: dict[str, list[Demands]] = collections.defaultdict(list)
        by_centre[self._dependencies.peer_table.data_centre] = [
            self.read_local()
        ]
        for data_centre, demands in self._list_reported(now):
            by_centre[data_centre].append(demands)
        for centre, tables in by_centre.items():
            self.table.record(DemandSum(centre, add_tables(tables)), now)

    async def _report(self, now: float) -> None:
        """Send the sum of this data centre, if this instance is to do so."""
        peer_table = self._dependencies.peer_table
        centre = peer_table.data_centre
        live = [
            name
            for name in list_live_peers(peer_table, now, _LIVE_S)
            if peer_table.peers[name].data_centre == centre
        ]
        ranked = rank_by_rendezvous(_DUTY, [*live, peer_table.name])
        if ranked[0] != peer_table.name:
            return
        if now - self._lease_read_at >= _LEASE_INTERVAL_S:
            self._lease_read_at = now
            await self._dependencies.lease.read()
        local = [
            demands
            for data_centre, demands in self._list_reported(now)
            if data_centre == centre
        ]
        sums = add_tables([self.read_local(), *local])
        self._send(
            DemandSum(centre, sums),
            self._dependencies.lease.holding_instance,
            now,
        )

    def _send(self, demand_sum: DemandSum, holder: str, now: float) -> None:
        """Send a sum to the holder, which may be this instance."""
        peer = self._dependencies.peer_table.peers.get(holder)
        if holder == self._dependencies.peer_table.name:
            self.table.record(demand_sum, now)
        elif peer is not None:
            self._dependencies.exchange.send(
                encode_sum(demand_sum), peer.address
            )
        elif holder != self._unknown_holder:
            self._unknown_holder = holder
            journal.write_decision('demand_not_sent', holder=holder)

    def _list_reported(self, now: float) -> Iterator[tuple[str, Demands]]:
        """Yield the data centre and the demand of each live peer."""
        peer_table = self._dependencies.peer_table
        for name in list_live_peers(peer_table, now, _LIVE_S):
            peer = peer_table.peers[name]
            yield peer.data_centre, peer.demand

    def _count_streams(self) -> dict[str, int]:
        """Return the number of streams that this instance has open."""
        streams: collections.Counter[str] = collections.Counter()
        for (
            engine,
            totals,
        ) in self._dependencies.load_table.local_loads().items():
            entry = self._dependencies.roster.find_entry(engine)
            if entry is not None:
                streams[entry.service] += totals.streams
        return streams
