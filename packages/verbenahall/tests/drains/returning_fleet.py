"""A simulated fleet in data centres, whose store returns from older copies."""

import asyncio
import collections
import dataclasses

import aiohttp

from verbenahall.peers import add_peer
from verbenahall.platform import ENDPOINTS_TOPIC, OPERATOR_TOPIC
from verbenahall.store_relay import (
    RELAY_PATH,
    RelayClient,
    RelayDependencies,
    RelayServer,
    encode_head,
)
from verbenahall.store_relay._messages import STATE_HEADER

from .fleet import Fleet
from .simulated_network import (
    ONE_WAY_S,
    PEER_PORT,
    SimulatedResponse,
    SimulatedSession,
    _Request,
)
from .simulated_store import SimulatedStore

TOPICS = (ENDPOINTS_TOPIC, OPERATOR_TOPIC)
DATA_CENTRES = ('aberystwyth', 'cardigan', 'lampeter')


class ReturningStore(SimulatedStore):
    """A store that may be away and return; ``calls`` holds time and kind."""

    def __init__(self, rng):
        super().__init__(rng)
        self.calls = []
        self.era = 1
        self.is_away = False

    def take_copy(self):
        """Return the records of all topics."""
        return {name: list(found) for name, found in self._topics.items()}

    def return_from(self, copy):
        """Return from a copy; calls that are under way lose their answers."""
        for name in self._topics:
            self._topics[name] = list(copy.get(name, ()))
        self.era += 1

    async def answer(self, instance, url, params, body):
        """Return status, body and headers, or break the connection."""
        now = asyncio.get_running_loop().time()
        self.calls.append((now, url.rpartition('-')[-1]))
        era = self.era
        if self.is_away:
            raise aiohttp.ServerDisconnectedError
        end = len(self._topics.get(params['topic'], ()))
        if url.endswith('read') and int(params['from']) > end:
            found = 410, b'{"first":0}'
            await asyncio.sleep(self.one_way_s)
        else:
            found = await super().answer(instance, url, params, body)
        if self.is_away or era != self.era:
            raise aiohttp.ServerDisconnectedError
        return *found, {'Store-Era': str(era)}


@dataclasses.dataclass
class RelayedResponse(SimulatedResponse):
    """A peer's answer to a request for a topic."""

    ok: bool = True

    @property
    def content_length(self):
        return len(self.body)

    async def read(self):
        return self.body


class RelaySession(SimulatedSession):
    """A session that also requests topics from peers."""

    def get(self, url, params, allow_redirects):
        assert url.endswith(RELAY_PATH)
        return _Request(self._get(url, params))

    async def _get(self, url, params):
        fleet = self._fleet
        host = url.removeprefix('http://').partition(':')[0]
        peer = fleet.names_by_host[host]
        await asyncio.sleep(2 * ONE_WAY_S)
        if fleet.is_partitioned(self._instance, peer):
            raise aiohttp.ClientConnectionError
        fleet.relay_count += 1
        return fleet.relay(peer, params['topic'], int(params['from']))


class ReturningFleet(Fleet):
    """Instances in three data centres, with relays of topics between them."""

    def __init__(self, seed, size, leaving_s=2):
        super().__init__(seed, size, leaving_s)
        self.store = ReturningStore(self.traffic_rng)
        self.relay_count = 0
        self._servers = {}
        self._relays = []

    async def open(self):
        """Start the instances, and the requests of topics from peers."""
        await super().open()
        for instance in self.instances.values():
            core = instance.core
            core.session = RelaySession(self, instance.name)
            topics = {
                one.handler.topic: one.local for one in instance.followers
            }
            self._servers[instance.name] = RelayServer(
                topics, core.peer_table, core.store, core.now, None
            )
            relay = RelayDependencies(
                core.peer_table, core.session, core.random, core.now
            )
            self._relays += [
                asyncio.create_task(RelayClient(topic, relay).run())
                for topic in topics.values()
            ]

    async def close(self):
        """Stop the relays and the instances."""
        for relay in self._relays:
            relay.cancel()
        await asyncio.gather(*self._relays, return_exceptions=True)
        await super().close()

    def spread(self):
        """Place the instances in data centres before they exchange anything."""
        for number, (name, instance) in enumerate(self.instances.items()):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            instance.core.peer_table.data_centre = centre
            for other in self.instances.values():
                address = f'{self.hosts[name]}:{PEER_PORT}'
                add_peer(other.core.peer_table, name, address, centre)
                known = other.core.peer_table.peers.get(name)
                if known is not None:
                    known.data_centre = centre

    def relay(self, peer, topic, offset):
        """Return a peer's answer to a request for a topic."""
        server = self._servers[peer]
        served = server._topics[topic]
        if served.copy.end is None:
            return RelayedResponse(503, b'', ok=False)
        state = server._make_state(served, offset, served.copy.end)
        body = server._find_body(topic, state)
        return RelayedResponse(200, body, {STATE_HEADER: encode_head(state)})

    async def return_store(self, copy, away_s):
        """Let the store be away and return; others write again."""
        self.store.is_away = True
        await asyncio.sleep(away_s)
        lost = self.store.take_copy()
        self.store.return_from(copy)
        self.store.is_away = False
        now = asyncio.get_running_loop().time()
        self.mark_store_fault(self.instances, now)
        await asyncio.sleep(0.1)
        for topic in TOPICS:
            newest = {key: content for key, _, content in lost[topic]}
            known = {key: content for key, _, content in copy[topic]}
            for key, content in newest.items():
                if known.get(key) != content:
                    self.store.put(topic, key, content)

    def count_calls(self, start, end):
        """Return the calls to the store by kind between two times."""
        return collections.Counter(
            kind for at, kind in self.store.calls if start <= at < end
        )

    def list_behind(self):
        """Return the instances that lack the newest records of a topic."""
        return [
            name
            for name, instance in self.instances.items()
            for follower in instance.followers
            if follower.position is None
            or follower.position & 0xFFFFFFFFFF
            < len(self.store._topics[follower.handler.topic])
        ]
