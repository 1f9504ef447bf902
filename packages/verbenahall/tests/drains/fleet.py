"""A fleet on a simulated clock: instances, their store, and their network.

The instances run the real followers, heartbeats, roster and send path. What
is simulated is the clock, the store, the datagrams between instances and the
connections to endpoints.
"""

import asyncio
import dataclasses
import json
import random
import tempfile
from pathlib import Path

import aiohttp
from verbenahall_standins.platform import write_settings

from verbenahall.catalog import RouteKind, Route, Service, Share
from verbenahall.gateway._core import Core
from verbenahall.gateway._record_handlers import make_followers
from verbenahall.gateway._messages import Call
from verbenahall.gateway._plain_flow import PlainFlow
from verbenahall.gateway._refresh import Refresher
from verbenahall.gateway._sender import Sender
from verbenahall.peers import PeerExchange, add_peer
from verbenahall.placement import Work
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    OPERATOR_TOPIC,
    RequestHead,
    read_settings,
)

from .simulated_network import PEER_PORT, SimulatedSession, SimulatedSocket
from .simulated_store import SimulatedStore

SERVICE = 'pages'
ROUTE = Route(
    name='proof',
    host='desk.example',
    prefix='/proof/',
    kind=RouteKind.NON_IDEMPOTENT,
    shares=(Share(SERVICE, 1),),
    timeout_s=3,
    objective_s=0.4,
    priority=1,
    max_attempts=1,
)


class Instance:
    """One instance: its state, its followers and its heartbeats."""

    def __init__(self, fleet, name, settings):
        self.name = name
        self.core = Core(settings)
        self._opened = self.core.session
        session = SimulatedSession(fleet, name)
        self.core.session = session
        self.core.random = random.Random(f'{fleet.seed} {name}')
        self.core.store._session = session
        self.exchange = PeerExchange(
            self.core.peer_table, self.core.placement, bool
        )
        self.exchange.connection_made(SimulatedSocket(fleet, name))
        self.followers = make_followers(self.core, self.exchange)
        self._sender = Sender(self.core)
        self._tasks = []

    def start(self):
        """Follow the store and tell the peers."""
        loops = [one.run() for one in self.followers]
        loops += [Refresher(self.core, one).run() for one in self.followers]
        loops.append(self.exchange.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self):
        """End at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.core.close()
        await self._opened.close()

    async def send(self):
        """Send one request to an endpoint that is chosen now; its status."""
        return await self.ask(ROUTE, '/proof/')

    async def ask(self, route, path, fingerprint=''):
        """Send one request by a route; return its status."""
        now = self.core.now()
        call = Call(
            head=RequestHead('r-1', route.timeout_s, Work(), None),
            route=route,
            service=Service(SERVICE),
            version=1,
            method='POST',
            path=path,
            raw_headers=(),
            body=b'',
            received=now,
            deadline=now + route.timeout_s,
            fingerprint=fingerprint,
        )
        answer = await PlainFlow(self.core, self._sender, call).run()
        return answer.status


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at an endpoint that had left, and how long before.

    ``announced`` tells whether the endpoint had said so or its entry was only
    removed; ``listed`` and ``age_s`` are what the instance believed.
    """

    at: float
    instance: str
    endpoint: str
    late_s: float
    announced: bool
    listed: bool
    age_s: float


class Fleet:
    """Instances on one store, endpoints that come and go, and the faults.

    ``stable_s`` is for how long nothing must have happened to an instance's
    way to the store, or to the store, for its sends to be judged.
    """

    def __init__(self, seed, size, leaving_s, stable_s=4):
        self.seed = seed
        self.source = random.Random(seed)
        self.store = SimulatedStore(self.source)
        self.leaving_s = leaving_s
        self.stable_s = stable_s
        self.loss = 0
        self.delay_s = 0
        self.silenced = set()
        #: Parts of the fleet between which no datagram gets through.
        self.groups = {}
        self.left = {}
        self.announced = set()
        self.live = []
        self.late = []
        self.sends = 0
        self.refused = 0
        self.instances = {}
        self.hosts = {}
        self.by_host = {}
        self._address = {}
        self._harmed = {}
        self._changes = 0
        self._born = 0
        self._names = [f'front-{number}' for number in range(size)]
        self._flows = set()

    async def open(self):
        """Start the instances, with endpoints that are listed."""
        self.store.put(OPERATOR_TOPIC, 'config', b'{}')
        for _ in range(8):
            self.join()
        with tempfile.TemporaryDirectory() as folder:
            for number, name in enumerate(self._names, 1):
                path = write_settings(Path(folder), 'store:1', name)
                settings = read_settings(path).unwrap()
                bounds = dataclasses.replace(
                    settings.bounds,
                    leaving_s=self.leaving_s,
                )
                self.hosts[name] = f'10.0.0.{number}'
                self.by_host[self.hosts[name]] = name
                self.instances[name] = Instance(
                    self,
                    name,
                    dataclasses.replace(settings, bounds=bounds),
                )
        for instance in self.instances.values():
            for name, host in self.hosts.items():
                address = f'{host}:{PEER_PORT}'
                add_peer(instance.core.peer_table, name, address, 'lampeter')
            instance.start()

    async def close(self):
        """Stop what still runs."""
        await asyncio.gather(*self._flows)
        for instance in tuple(self.instances.values()):
            await instance.stop()

    def join(self):
        """List a new endpoint."""
        self._born += 1
        name = f'e{self._born}'
        self._address[name] = f'10.9.{self._born // 250}.{self._born % 250 + 1}'
        self.live.append(name)
        self._write(name, 'ready')

    def announce(self, name):
        """Have an endpoint say that it leaves."""
        self.announced.add(name)
        self._note_left(name)
        self._write(name, 'draining')

    def remove(self, name):
        """Remove an endpoint's entry; most have said before that they leave."""
        self._note_left(name)
        self.store.put(ENDPOINTS_TOPIC, name, b'')

    def lapse(self):
        """Remove all entries though the endpoints live."""
        for name in self.live:
            self.store.put(ENDPOINTS_TOPIC, name, b'')

    def relist(self):
        """Write the entries of the endpoints that live."""
        for name in self.live:
            self._write(name, 'ready')

    def harm(self, names, until):
        """Note that an instance's way to the store is harmed until a time."""
        for name in names:
            self._harmed[name] = max(self._harmed.get(name, 0), until)

    def find_endpoint(self, host):
        """Return the name of the newest endpoint at an address."""
        return next(name for name, at in self._address.items() if at == host)

    def find_followers(self):
        """Return the instances that follow the endpoints at the store."""
        return [
            name
            for name, instance in self.instances.items()
            if ENDPOINTS_TOPIC in instance.exchange.followed_offsets()
        ]

    def deliver(self, target, datagram, sender):
        """Hand a datagram over if its target still runs."""
        instance = self.instances.get(target)
        if instance is not None:
            instance.exchange.datagram_received(datagram, sender)

    def is_cut(self, one, other):
        """Whether no datagram gets from one instance to another."""
        apart = self.groups.get(one, 0) != self.groups.get(other, 0)
        return apart or bool({one, other} & self.silenced)

    async def serve(self, instance, host, path, headers):
        """Take a request at an endpoint, which loses the connection."""
        self.note_arrival(instance, host)
        raise aiohttp.ServerDisconnectedError

    def note_arrival(self, instance, host):
        """Judge a request that has arrived at an endpoint."""
        now = asyncio.get_running_loop().time()
        self.sends += 1
        endpoint = self.find_endpoint(host)
        left_at = self.left.get(endpoint, now)
        if self.is_judged(instance) and now - left_at > self.leaving_s:
            self.late.append(self._describe(instance, endpoint, now))

    def is_judged(self, instance):
        """Whether nothing has harmed an instance's way to the store lately."""
        now = asyncio.get_running_loop().time()
        harmed_until = self._harmed.get(instance, -self.stable_s)
        return now - harmed_until > self.stable_s

    def _describe(self, instance, endpoint, now):
        core = self.instances[instance].core
        listing = core.roster.listings.get(endpoint)
        return Arrival(
            round(now, 3),
            instance,
            endpoint,
            late_s=round(now - self.left[endpoint], 3),
            announced=endpoint in self.announced,
            listed=listing is not None and listing.usable_until == float('inf'),
            age_s=round(core.freshness[ENDPOINTS_TOPIC].find_age(now), 3),
        )

    async def send_until(self, end):
        """Have every instance send now and then until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self.source.uniform(0, 0.01))
            instance = self.source.choice(tuple(self.instances.values()))
            flow = asyncio.create_task(self._send(instance))
            self._flows.add(flow)
            flow.add_done_callback(self._flows.discard)

    async def _send(self, instance):
        status = await instance.send()
        self.refused += status == 503

    def _note_left(self, name):
        if name in self.live:
            self.live.remove(name)
            self.left[name] = asyncio.get_running_loop().time()

    def _write(self, name, state):
        self._changes += 1
        entry = {
            'service': SERVICE,
            'address': f'{self._address[name]}:8080',
            'zone': 'lampeter',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldLeftMs': 0,
            'born': 1000,
            'seq': self._changes,
        }
        content = json.dumps(entry).encode()
        self.store.put(ENDPOINTS_TOPIC, name, content)
