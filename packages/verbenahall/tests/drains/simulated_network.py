"""Connections and datagrams of the instances of a simulated fleet."""

import asyncio
import dataclasses

PEER_PORT = 7380
#: Time to an endpoint or a peer, one way, in seconds.
WAY_S = 0.001
#: Share of new connections whose first packet is lost or late.
SLOW_CONNECTS = 0.02
SLOWEST_CONNECT_S = 0.39


class SimulatedSession:
    """An instance's HTTP session: to the store, or to an endpoint."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def request(self, method, url, **options):
        """Begin a call."""
        return _Request(self._call(str(url), options))

    def post(self, url, data, headers):
        """Begin a call of a duty to the platform."""
        return _Request(
            self._fleet.take_duty(self._instance, url, data, headers),
        )

    async def close(self):
        """Nothing is open."""

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
        slow = fleet.source.random() < SLOW_CONNECTS
        longest = SLOWEST_CONNECT_S if slow else WAY_S
        await asyncio.sleep(fleet.source.uniform(0, longest))
        host, _, rest = url.removeprefix('http://').partition(':')
        path = rest[rest.index('/') :]
        headers = options.get('headers', {})
        return await fleet.serve(self._instance, host, path, headers)


class _Request:
    """A call that may be awaited or entered, as the library's."""

    def __init__(self, call):
        self._call = call

    def __await__(self):
        return self._call.__await__()

    async def __aenter__(self):
        return await self._call

    async def __aexit__(self, *error):
        """Nothing is open."""


@dataclasses.dataclass
class SimulatedResponse:
    """A whole answer."""

    status: int
    body: bytes
    headers: dict = dataclasses.field(default_factory=dict)
    raw_headers: tuple = ()
    reason: str = ''

    async def read(self):
        """Return the body."""
        return self.body

    def close(self):
        """Nothing is open."""


class SimulatedSocket:
    """Datagrams of one instance; some are lost."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance

    def sendto(self, datagram, address):
        """Deliver after a moment, or not at all."""
        fleet = self._fleet
        target = fleet.by_host[address[0]]
        lost = fleet.source.random() < fleet.loss
        if lost or fleet.is_cut(self._instance, target):
            return
        loop = asyncio.get_running_loop()
        way_s = WAY_S + fleet.source.uniform(0, fleet.delay_s)
        sender = (fleet.hosts[self._instance], PEER_PORT)
        loop.call_later(way_s, fleet.deliver, target, datagram, sender)

    def close(self):
        """Nothing is open."""
