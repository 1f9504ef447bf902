"""The store refuses some instances while it serves their peers."""

import asyncio
import contextlib
import hashlib

import pytest
from verbenahall_standins.platform import Site, StoreFaults, make_route

from .conftest import make_plain, run, run_gateway
from .test_news import wait_slots, wait_version

REFUSALS = (
    {'down': 429},
    {'down': 503},
    {'reset': True},
    {'silent': True},
)


def make_routes(count=1400):
    """Return routes whose text compresses to far more than one datagram."""
    names = [hashlib.sha256(bytes([n % 256, n // 256])) for n in range(count)]
    return [
        make_route(f'/{name.hexdigest()}/', 'idempotent', 'pages')
        for name in names
    ]


@contextlib.asynccontextmanager
async def run_fleet(folder, refused=2, served=3):
    """Run instances, some of which use an entrance of the store of their own.

    Yields the harnesses of the refused ones, of the others, and the entrance.
    """
    site = Site(plain=make_plain(2))
    await site.start()
    entrance = await site.store.open_entrance(StoreFaults())
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(site.stop)
        groups = ([], [])
        for number in range(refused + served):
            own = number < refused
            harness = await stack.enter_async_context(
                run_gateway(
                    folder,
                    name=f'front-{number}',
                    site=site,
                    store=entrance if own else None,
                )
            )
            groups[0 if own else 1].append(harness)
        await asyncio.sleep(1.5)
        yield *groups, entrance


async def refuse(entrance, refusal, for_s=2.5):
    """Refuse the instances of an entrance, until their polls have failed."""
    for name, fault in refusal.items():
        setattr(entrance.faults, name, fault)
    await asyncio.sleep(for_s)


@pytest.mark.parametrize('refusal', REFUSALS, ids=str)
def test_large_manifest_reaches_refused_instances(tmp_path, refusal):
    # A manifest that no datagram holds is left out of the peers' updates. The
    # refused instances had no newer one for 37 s.
    async def check():
        async with run_fleet(tmp_path) as (refused, served, entrance):
            await refuse(entrance, refusal)
            served[0].site.publish(make_routes())
            await wait_version([*served, *refused], 2, 2)

    run(check())


def test_lost_update_reaches_refused_instances(tmp_path):
    # An update gets lost. Each later one starts after the gap, so that a
    # refused instance stays behind for as long as it is refused.
    async def check():
        async with run_fleet(tmp_path) as (refused, served, entrance):
            await refuse(entrance, {'down': 503})
            for harness in refused:
                exchange = harness.gateway.finder.exchange
                receive = exchange.on_update
                exchange.on_update = bool
            site = served[0].site
            site.publish()
            await wait_version(served, 2, 1)
            await asyncio.sleep(0.2)
            exchange.on_update = receive
            site.list_endpoint(site.plain[0], slots=5)
            await wait_version(refused, 2, 2)
            await wait_slots([*served, *refused], 5, 2)

    run(check())


def test_instance_that_starts_while_it_is_refused_gets_ready(tmp_path):
    # A restarted instance has read nothing yet, so that no update fits.
    async def check():
        async with run_fleet(tmp_path, refused=1) as (refused, _, entrance):
            gateway = refused[0].gateway
            settings = gateway.core.settings
            await gateway.close()
            entrance.faults.down = 503
            restarted = type(gateway)(settings)
            await restarted.open()
            try:
                await refused[0].wait_until(lambda: restarted.core.ready, 5)
            finally:
                await restarted.close()

    run(check())
