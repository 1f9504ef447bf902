"""HTTP connections and datagrams of the instances of a simulated fleet."""

import asyncio
import dataclasses

PEER_PORT = 7380
#: One-way latency to an endpoint or a peer, in seconds.
ONE_WAY_S = 0.001
#: Share of new connections that are slow: their first packet is lost or
#: delayed.
SLOW_CONNECT_SHARE = 0.02
#: Upper bound of the time that such a connection takes, in seconds.
MAX_CONNECT_S = 0.39


class SimulatedSession:
    """HTTP session of one instance, for the store and for endpoints."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def request(self, method, url, **options):
        """Return a request that starts when it is awaited or entered."""
        return _Request(self._call(str(url), options))

    def post(self, url, data, headers):
        """Start a duty's call to the platform."""
        return _Request(
            self._fleet.handle_duty_call(self._instance, url, data, headers),
        )

    async def close(self):
        """Do nothing: no resource is open."""

    async def _call(self, url, options):
        fleet = self._fleet
        if 'store' in url:
            answer = fleet.store.answer(
                self._instance,
                url,
                options['params'],
                options['data'],
            )
            return SimulatedResponse(*await answer)
        slow = fleet.traffic_rng.random() < SLOW_CONNECT_SHARE
        max_delay_s = MAX_CONNECT_S if slow else ONE_WAY_S
        await asyncio.sleep(fleet.traffic_rng.uniform(0, max_delay_s))
        host, _, rest = url.removeprefix('http://').partition(':')
        path = rest[rest.index('/') :]
        headers = options.get('headers', {})
        return await fleet.serve(self._instance, host, path, headers)


class _Request:
    """A request that can be awaited or entered, as in aiohttp."""

    def __init__(self, call):
        self._call = call

    def __await__(self):
        return self._call.__await__()

    async def __aenter__(self):
        return await self._call

    async def __aexit__(self, *error):
        """Do nothing: no resource is open."""


class SimulatedBody:
    """A reader of a body that has arrived in pieces."""

    def __init__(self, pieces):
        self._pieces = [piece for piece in pieces if piece]

    async def readany(self):
        """Return the next piece, none at the end."""
        return self._pieces.pop(0) if self._pieces else b''


@dataclasses.dataclass
class SimulatedResponse:
    """An HTTP response whose body has arrived completely."""

    status: int
    body: bytes
    headers: dict = dataclasses.field(default_factory=dict)
    raw_headers: tuple = ()
    reason: str = ''

    def __post_init__(self):
        """Make the reader of the body."""
        self.content = SimulatedBody([self.body])

    def close(self):
        """Do nothing: no resource is open."""


class SimulatedSocket:
    """Datagram transport of one instance that loses some datagrams."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def sendto(self, datagram, address):
        """Deliver a datagram after the latency, or lose it."""
        fleet = self._fleet
        target = fleet.names_by_host[address[0]]
        lost = fleet.traffic_rng.random() < fleet.loss_share
        if lost or fleet.is_partitioned(self._instance, target):
            return
        loop = asyncio.get_running_loop()
        one_way_s = ONE_WAY_S + fleet.traffic_rng.uniform(0, fleet.delay_s)
        sender = (fleet.hosts[self._instance], PEER_PORT)
        loop.call_later(one_way_s, fleet.deliver, target, datagram, sender)

    def close(self):
        """Do nothing: no resource is open."""
