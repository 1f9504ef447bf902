"""Instances on one site, of which the first can lose its endpoints."""

import asyncio
import contextlib
import functools
import itertools

from verbenahall_standins.platform import RawEndpoint
from verbenahall_standins.soak import EndpointLinks

from verbenahall.peers import add_peer, list_live_peers

from .conftest import make_engines, make_plain, run_gateway

ROUTES = (
    ('POST', '/summary/1'),
    ('POST', '/blurb/1'),
    ('POST', '/proof/1'),
    ('GET', '/archive/1'),
)


class Fleet:
    """Instances on one site; ``links`` are those of the first instance."""

    def __init__(self, harnesses, links):
        self.harnesses = harnesses
        self.links = links
        self._numbers = itertools.count()

    @property
    def site(self):
        """The stand-ins that all instances share."""
        return self.harnesses[0].site

    def count_runs(self, identity):
        """Return how often a request ran at endpoints."""
        endpoints = (*self.site.engines, *self.site.plain)
        runs = [one for endpoint in endpoints for one in endpoint.runs]
        return sum(one['X-Verbenahall-Request-Id'] == identity for one in runs)

    async def send(self, harness, method, path, **options):
        """Send one request; return its status, 0 without an answer."""
        identity = f'cut-{next(self._numbers)}'
        with contextlib.suppress(OSError):
            async with asyncio.timeout(4):
                answer = await harness.send(
                    path, identity, method=method, **options
                )
            return answer[0]
        return 0

    async def send_all(self, harness, seconds):
        """Send requests of all routes for some time; return their statuses."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        for method, path in itertools.cycle(ROUTES):
            if loop.time() >= end:
                break
            sending = self.send(harness, method, path)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(0.05)
        return await asyncio.gather(*tasks)

    async def lose_endpoints(self, form):
        """Cut the first instance off, and wait until it has noticed."""
        cut = self.harnesses[0]
        await self.links.cut(form)
        sending = asyncio.create_task(self.send_all(cut, 1))
        reach = cut.gateway.core.reach
        await cut.wait_until(lambda: len(reach.list_lost()) == 2)
        await sending

    @contextlib.asynccontextmanager
    async def run_peer(self, *answers, name='raw', is_frozen=False):
        """Run a peer that gives raw answers, as ``open_peer`` does."""
        async with self.open_peer(
            RawEndpoint(*answers), name, is_frozen=is_frozen
        ) as peer:
            yield peer

    @contextlib.asynccontextmanager
    async def open_peer(self, peer, name='raw', is_frozen=False):
        """Run a peer that is chosen before others.

        A frozen one sends no heartbeat from now on.
        """
        await peer.start()
        gateway = self.harnesses[0].gateway
        table = gateway.core.peer_table
        for known in table.peers:
            gateway.open_forwards.begin(known)
        add_peer(table, name, peer.address, table.data_centre)
        now = gateway.core.now()
        table.peers[name].last_heartbeat_at = now if is_frozen else now + 60
        try:
            yield peer
        finally:
            await peer.stop()


@contextlib.asynccontextmanager
async def run_fleet(folder, count=2, **options):
    """Run instances that receive each other's heartbeats."""
    links = EndpointLinks()
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            run_gateway(
                folder,
                make_engines(decode_count=2),
                make_plain(2),
                links=links,
                **options,
            ),
        )
        harnesses = [first]
        for number in range(1, count):
            harness = run_gateway(
                folder, name=f'front-{number + 1}', site=first.site
            )
            harnesses.append(await stack.enter_async_context(harness))
        for harness in harnesses:
            await harness.wait_until(
                functools.partial(has_live_peers, harness, count - 1)
            )
        yield Fleet(harnesses, links)


def has_live_peers(harness, count):
    """Whether an instance receives the heartbeats of ``count`` peers."""
    core = harness.gateway.core
    return len(list_live_peers(core.peer_table, core.now(), 1)) == count
