"""Sends and receives the datagrams between instances."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, final

from returns.maybe import Some

from verbenahall import clock, journal
from verbenahall.capacity import Demands
from verbenahall.isolation import isolate_record
from verbenahall.peers._arrivals import ArrivalClock
from verbenahall.peers._contacts import list_contacts
from verbenahall.peers._messages import (
    Heartbeat,
    ShareReport,
    TopicUpdate,
    decode_message,
    encode_heartbeat,
    encode_update,
    split_update,
)
from verbenahall.peers._state import (
    Peer,
    PeerTable,
    add_peer,
    choose_due,
    find_scale,
    list_recipients,
    record_heartbeat,
)
from verbenahall.placement import PlacementState

#: Interval at which heartbeats are sent to the peers that are due, in seconds.
_TICK_S: Final = 0.1
#: Datagrams for the records of one read, at most: about thirty entries. More
#: records follow an outage, and each instance reads them from the store.
_MAX_DATAGRAMS: Final = 10


#: Name under which a datagram that can't be handled is logged.
_DATAGRAMS: Final = 'datagrams'
#: Interval at which charges are sent to a peer, in seconds. They decay with a
#: half-life of 2 s and count for 1.5 s; in each heartbeat they would take more
#: bytes than all other control messages.
_CHARGED_S: Final = 0.9
#: Bytes of charges that an instance sends a second, approximate bytes of one
#: workspace, and how many workspaces are sent at least: the largest ones show
#: who is beyond its share.
_CHARGED_BYTES_S: Final = 3000
_ENTRY_BYTES: Final = 20
_MIN_ENTRIES: Final = 4

Charged = Mapping[str, float]


@final
class PeerExchange(asyncio.DatagramProtocol):
    """Sends heartbeats and store updates to peers and receives theirs."""

    def __init__(
        self,
        peer_table: PeerTable,
        placement: PlacementState,
        on_engine_changing: Callable[[str], None],
    ) -> None:
        """Exchange the open work in the load table of the placement state.

        ``on_engine_changing`` is called for each engine that a peer reports as
        changing its role, ``on_update`` for each store update. Six callbacks
        supply fields of the heartbeats: ``changing`` the engines that this
        instance has ordered to change, ``followed_positions`` those of the
        topics that it follows, ``list_ages`` the seconds since the store last
        confirmed each topic, ``list_unreachable`` the services of which this
        instance reaches no endpoint, ``get_connection_rate`` the rate of its
        new connections, ``get_demand`` what it sends to scaled services.
        """
        self.changing: Callable[[], Sequence[str]] = tuple
        self.followed_positions: Callable[[], Mapping[str, int]] = dict
        self.list_ages: Callable[[], Mapping[str, float]] = dict
        self.list_unreachable: Callable[[], Sequence[str]] = tuple
        self.get_connection_rate: Callable[[], float] = float
        #: Engine time in milliseconds that this instance has charged to
        #: workspaces, largest first, and what is called with that of a peer;
        #: each with the time of the call.
        self.list_charged: Callable[[float], Charged] = _charge_nothing
        self.on_charged: Callable[[str, Charged, float], object] = (
            _ignore_charged
        )
        self.get_demand: Callable[[], Demands] = dict
        self.on_update: Callable[[TopicUpdate], object] = bool
        #: Called for every datagram, with the sender's address, before the
        #: exchange decodes it. Returns True if it has handled the datagram.
        self.datagram_handler: Callable[[bytes, str], bool] = _ignore_datagram
        self._peer_table = peer_table
        self._load_table = placement.load_table
        self._speed = placement.prefill_speed
        self._engine_speeds = placement.engine_speeds
        self._on_engine_changing = on_engine_changing
        self._numbers = itertools.count()
        self._charged_sent_at: dict[str, float] = {}
        self._transport: Any = None
        self._arrivals = ArrivalClock(_TICK_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode one datagram and pass it on; one that fails costs no other."""
        with isolate_record(_DATAGRAMS, addr[0]):
            if self.datagram_handler(data, f'{addr[0]}:{addr[1]}'):
                return
            match decode_message(data):
                case Some(Heartbeat() as heartbeat):
                    self._receive_heartbeat(heartbeat, addr)
                case Some(TopicUpdate() as update):
                    self.on_update(update)
                case Some(ShareReport(author=author, charged=charged)):
                    self.on_charged(author, charged, clock.monotonic())
                case _:
                    journal.write_decision('word_unreadable', peer=addr[0])

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(ip, port),
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now = clock.monotonic()
            self._arrivals.record_tick(now)
            self._send_heartbeats(now)
            await asyncio.sleep(_TICK_S)

    def broadcast(self, update: TopicUpdate) -> None:
        """Send records read from the store to the peers, split as needed.

        Records that need too many datagrams are left out: the update then
        only reports up to which position the topic goes, like one without
        records. It also goes to some instances of the other data centres, in
        which nobody may reach the store.
        """
        authored = dataclasses.replace(update, author=self._peer_table.name)
        contacts = list_contacts(self._peer_table, update.topic)
        _send_update(
            self, authored, (*list_recipients(self._peer_table), *contacts)
        )

    def announce(self) -> None:
        """Send one heartbeat to the peers that get no regular ones.

        Instances of other data centres that started earlier get this
        instance's address only from this heartbeat. They need it if this
        instance schedules engines of its data centre. They get no store updates
        from this instance, so the heartbeat lists no followed topics.
        """
        recipients = list_recipients(self._peer_table)
        datagram = encode_heartbeat(self._make_heartbeat({}, {}))
        for peer in self._peer_table.peers.values():
            if peer not in recipients:
                self.send(datagram, peer.address)

    def send(self, datagram: bytes, address: str) -> None:
        """Send one datagram, without a check that it arrives."""
        host, _, port = address.rpartition(':')
        if self._transport is not None:
            self._transport.sendto(datagram, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _receive_heartbeat(
        self,
        heartbeat: Heartbeat,
        source: tuple[str, int],
    ) -> None:
        now = clock.monotonic()
        host, port = source
        add_peer(
            self._peer_table,
            heartbeat.author,
            f'{host}:{port}',
            heartbeat.data_centre,
            heartbeat.cores,
        )
        received = (
            heartbeat.author,
            heartbeat.number,
            now,
            heartbeat.followed_positions,
        )
        if record_heartbeat(
            self._peer_table,
            *received,
            self._arrivals.find_confirmations(heartbeat),
        ):
            peer = self._peer_table.peers[heartbeat.author]
            peer.unreachable = frozenset(heartbeat.unreachable)
            peer.connection_rate = heartbeat.connection_rate
            peer.demand = heartbeat.demand
            peer.link_megabits = heartbeat.link_megabits
            self._load_table.set_peer_loads(
                heartbeat.author, heartbeat.loads, now
            )
            if heartbeat.charged:
                self.on_charged(heartbeat.author, heartbeat.charged, now)
            self._speed.adopt(heartbeat.speed or (0,))
            self._engine_speeds.adopt(heartbeat.factors)
            for engine in heartbeat.changing:
                self._on_engine_changing(engine)

    def _send_heartbeats(self, now: float) -> None:
        self._load_table.expire_peers(now)
        self._load_table.scale = find_scale(self._peer_table)
        due = tuple(choose_due(self._peer_table, now))
        if not due:
            return
        heartbeat = self._make_heartbeat(
            self.followed_positions(), self.list_ages()
        )
        datagram = encode_heartbeat(heartbeat)
        charged = _limit(self.list_charged(now), len(due))
        if not charged:
            self._charged_sent_at.clear()
        with_charged = (
            encode_heartbeat(dataclasses.replace(heartbeat, charged=charged))
            if charged
            else datagram
        )
        for address in due:
            sent_at = self._charged_sent_at.get(address, -_CHARGED_S)
            if charged and now - sent_at >= _CHARGED_S:
                self._charged_sent_at[address] = now
                self.send(with_charged, address)
            else:
                self.send(datagram, address)

    def _make_heartbeat(
        self,
        followed_positions: Mapping[str, int],
        ages: Mapping[str, float],
    ) -> Heartbeat:
        return Heartbeat(
            self._peer_table.name,
            next(self._numbers),
            self._load_table.local_loads(),
            self._peer_table.data_centre,
            tuple(self.changing()),
            self._speed.export(),
            followed_positions,
            self._peer_table.cores,
            ages,
            tuple(self.list_unreachable()),
            self.get_connection_rate(),
            self._engine_speeds.export(clock.monotonic()),
            demand=self.get_demand(),
            link_megabits=self._peer_table.link_megabits,
        )


def forward_update(
    exchange: PeerExchange, peer_table: PeerTable, update: TopicUpdate
) -> None:
    """Send an update from another data centre to the local peers."""
    forwarded = dataclasses.replace(update, is_forwarded=True)
    _send_update(exchange, forwarded, list_recipients(peer_table))


def _send_update(
    exchange: PeerExchange, update: TopicUpdate, recipients: Sequence[Peer]
) -> None:
    parts = split_update(update)
    if not parts or len(parts) > _MAX_DATAGRAMS:
        parts = (dataclasses.replace(update, records=()),)
    for part in parts:
        datagram = encode_update(part)
        for peer in recipients:
            exchange.send(datagram, peer.address)


def _limit(charged: Charged, recipients: int) -> Charged:
    """Return the first charges that fit into the budget of bytes."""
    count = int(_CHARGED_BYTES_S / _ENTRY_BYTES / recipients)
    entries = itertools.islice(charged.items(), max(_MIN_ENTRIES, count))
    return dict(entries)


def _charge_nothing(now: float) -> Charged:
    """Return no charges: no workspaces are in force."""
    return {}


def _ignore_charged(author: str, charged: Charged, now: float) -> None:
    """Ignore the charges of a peer."""


def _ignore_datagram(datagram: bytes, address: str) -> bool:
    """Leave every datagram to the exchange."""
    return False
