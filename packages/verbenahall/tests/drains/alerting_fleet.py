"""Instances of three data centres that alert each other of endpoints."""

import asyncio
import random

from verbenahall.endpoint_alerts import AlertReplicator, Surroundings
from verbenahall.endpoint_health import Endpoints
from verbenahall.peers import PeerTable, add_peer
from verbenahall.roster import Entry, Roster, apply_entry

DATA_CENTRES = ('a', 'b', 'c')
SERVICE = 'm'
#: Interval between two sends of an instance, in seconds.
SEND_INTERVAL_S = 0.02
#: One-way delay of a datagram, in seconds.
ONE_WAY_S = 0.002
#: Timeout of a connection, in seconds.
CONNECT_S = 0.4


def ignore(datagram, sender):
    """Handle no datagram."""
    return False


class Exchange:
    """Passes the datagrams of one instance to the fleet."""

    def __init__(self, fleet, name):
        self.datagram_handler = ignore
        self._fleet = fleet
        self._name = name

    def send(self, datagram, address):
        self._fleet.deliver(self._name, datagram, address)


class Instance:
    """An instance that sends to random endpoints that it does not avoid."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.rng = random.Random(name)
        self.roster = Roster()
        for entry in fleet.entries:
            apply_entry(self.roster, entry, now=0)
        self.now = asyncio.get_running_loop().time
        self.endpoints = Endpoints(self.roster, self.rng, self.now)
        self.peer_table = PeerTable(name, name[0])
        for peer in fleet.names:
            add_peer(self.peer_table, peer, f'{peer}:1', peer[0])
        self.exchange = Exchange(fleet, name)
        if fleet.has_alerts:
            AlertReplicator(
                Surroundings(
                    self.roster,
                    self.endpoints,
                    self.peer_table,
                    self.now,
                    self.rng,
                    fleet.spawn,
                    self._reaches_others,
                    self.probe,
                ),
                self.exchange,
            )

    def is_excluded(self, entry):
        return not self.endpoints.health.is_reachable(entry.name, self.now())

    async def send_until(self, end):
        """Send requests one after the other."""
        await asyncio.sleep(self.rng.uniform(0, SEND_INTERVAL_S))
        while self.now() < end:
            usable = self.endpoints.list_usable(SERVICE, self.now())
            self.fleet.spawn(self._send(self.rng.choice(usable)))
            await asyncio.sleep(SEND_INTERVAL_S)

    async def probe(self, name):
        entry = self.roster.find_entry(name)
        if await self._connect(entry) is None:
            self.endpoints.record_reached(entry)

    async def _send(self, entry):
        sent_at = self.now()
        cause = await self._connect(entry)
        if cause is None:
            self.endpoints.health.get(entry.name).answered_at = self.now()
        else:
            self.fleet.wasted.append((sent_at, self.name, entry.name))
            self.endpoints.record_unreachable(entry, cause)

    async def _connect(self, entry):
        """Return why a connection fails, None if it does not."""
        await asyncio.sleep(ONE_WAY_S)
        is_cut = self.fleet.is_cut(self.name[0], entry.data_centre)
        if is_cut or entry in self.fleet.dark:
            await asyncio.sleep(CONNECT_S)
            return TimeoutError()
        return ConnectionRefusedError() if entry in self.fleet.down else None

    async def _reaches_others(self, endpoint):
        others = [one for one in self.fleet.entries if one != endpoint]
        sample = self.rng.sample(others, 2)
        outcomes = [await self._connect(one) for one in sample]
        return None in outcomes


class AlertingFleet:
    """Three data centres with instances and endpoints each.

    ``down`` holds the endpoints that have crashed, ``dark`` those whose machine
    has lost power, ``cuts`` pairs of data
    centres without a path, ``loss_share`` the share of datagrams that get lost,
    and ``wasted`` the sends to endpoints that were not reached.
    """

    def __init__(self, has_alerts=True, loss_share=0, size=12):
        self.has_alerts = has_alerts
        self.loss_share = loss_share
        self.names = [
            f'{place}{number}'
            for place in DATA_CENTRES
            for number in range(size)
        ]
        self.entries = [
            Entry(
                f'e-{place}{number}',
                SERVICE,
                'x:1',
                place,
                leaving=False,
                born=1,
            )
            for place in DATA_CENTRES
            for number in range(size)
        ]
        self.dark = set()
        self.down = set()
        self.cuts = set()
        self.wasted = []
        self.datagrams = 0
        self.rng = random.Random(1)
        self._tasks = set()
        self.instances = {name: Instance(self, name) for name in self.names}

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def is_cut(self, one, other):
        return (one, other) in self.cuts

    def deliver(self, sender, datagram, address):
        target = address.partition(':')[0]
        self.datagrams += 1
        is_lost = self.rng.random() < self.loss_share
        if not is_lost and not self.is_cut(sender[0], target[0]):
            loop = asyncio.get_running_loop()
            handle = self.instances[target].exchange.datagram_handler
            loop.call_later(ONE_WAY_S, handle, datagram, f'{sender}:1')

    async def run_until(self, end):
        """Let all instances send."""
        senders = [one.send_until(end) for one in self.instances.values()]
        await asyncio.gather(*senders)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def count_excluding(self, entry):
        """Return how many instances exclude an endpoint."""
        return sum(one.is_excluded(entry) for one in self.instances.values())
