"""The store returns from an older copy, without what was written since."""

import asyncio
import contextlib

import pytest
from verbenahall_standins.platform import Site, StoreFaults, make_route

from verbenahall import journal

from .conftest import PREFIX, make_plain, run, run_gateway
from .test_news import wait_slots, wait_version

INSTANCES = 8


@contextlib.asynccontextmanager
async def run_fleet(folder, count=INSTANCES, entrances=0):
    """Run instances, the first ones with an entrance of the store each."""
    site = Site(plain=make_plain(2))
    await site.start()
    own = [
        await site.store.open_entrance(StoreFaults()) for _ in range(entrances)
    ]
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(site.stop)
        harnesses = [
            await stack.enter_async_context(
                run_gateway(
                    folder,
                    name=f'front-{number}',
                    site=site,
                    store=own[number] if number < entrances else None,
                )
            )
            for number in range(count)
        ]
        await asyncio.sleep(2)
        yield harnesses, own


async def return_from(site, copy, away_s=0.05):
    """Let the store be away, and return from a copy."""
    store = site.store
    store.faults.reset = True
    await asyncio.sleep(away_s)
    store.return_from(copy)
    store.faults.reset = False


async def publish_again(site, added=()):
    """Let the operator write its newest version again."""
    site.version -= 1
    site.publish(added)


def list_known(harness):
    """Return an instance's version, and its endpoints that are live."""
    core = harness.gateway.core
    live = core.roster.list_live('pages', core.now())
    return core.catalog.catalog.version, {entry.name for entry in live}


@pytest.mark.parametrize('away_s', [0.05, 0.5, 1, 5])
def test_version_after_a_return_reaches_all_instances(tmp_path, away_s):
    # Six of eight instances stayed at the older manifest, as their offset was
    # above that of the store and of the instances that followed it.
    async def check():
        async with run_fleet(tmp_path) as (harnesses, _):
            site = harnesses[0].site
            copy = site.store.take_copy()
            for _ in range(4):
                site.publish()
                await asyncio.sleep(0.1)
            await wait_version(harnesses, site.version, 2)
            await return_from(site, copy, away_s)
            await publish_again(site)
            await asyncio.sleep(2)
            site.publish([make_route('/added/', 'idempotent', 'pages')])
            await wait_version(harnesses, site.version, 2)
            for harness in harnesses:
                status, _, _ = await harness.send('/added/x', method='GET')
                assert status == 200

    run(check())


def test_key_revoked_after_a_return_is_refused_by_all(tmp_path):
    # Instances that skipped the manifest as known still accepted the key.
    async def check():
        async with run_fleet(tmp_path) as (harnesses, _):
            site = harnesses[0].site
            key = {'tenants': [{'name': 'club', 'apiKeys': ['club-key']}]}
            other = {'tenants': [{'name': 'club', 'apiKeys': ['new-key']}]}
            copy = site.store.take_copy()
            for _ in range(4):
                site.publish(**key)
                await asyncio.sleep(0.1)
            await wait_version(harnesses, site.version, 2)
            await return_from(site, copy)
            site.version -= 1
            site.publish(**key)
            await asyncio.sleep(1.5)
            site.publish(**other)
            await asyncio.sleep(2)
            headers = {f'{PREFIX}Key': 'club-key'}
            for harness in harnesses:
                status, _, _ = await harness.send(
                    '/archive/1', method='GET', headers=headers
                )
                assert status == 401

    run(check())


def test_older_manifest_is_never_in_force(tmp_path):
    # The store has returned with an older version, and the operator has not
    # written the newer one again yet.
    async def check():
        async with run_fleet(tmp_path, 4) as (harnesses, _):
            site = harnesses[0].site
            copy = site.store.take_copy()
            site.publish([make_route('/added/', 'idempotent', 'pages')])
            await wait_version(harnesses, site.version, 2)
            await return_from(site, copy)
            for _ in range(20):
                await asyncio.sleep(0.1)
                known = {list_known(harness)[0] for harness in harnesses}
                assert known == {site.version}
            await publish_again(site)
            site.publish()
            await wait_version(harnesses, site.version, 2)

    run(check())


def test_leaving_endpoint_after_a_return_gets_no_requests(tmp_path):
    # The draining entry has an offset that the instances had passed before the
    # return, so most of them skipped it as known.
    async def check():
        async with run_fleet(tmp_path) as (harnesses, _):
            site = harnesses[0].site
            copy = site.store.take_copy()
            for slots in range(4):
                site.list_endpoint(site.plain[0], slots=slots + 1)
            await wait_slots(harnesses, 4, 2)
            await return_from(site, copy)
            await asyncio.sleep(1.5)
            site.list_endpoint(site.plain[0], state='draining')
            await harnesses[0].wait_until(
                lambda: all(
                    list_known(harness)[1] == {'page-1'}
                    for harness in harnesses
                ),
                1.5,
            )

    run(check())


def test_endpoint_that_left_before_a_return_stays_left(tmp_path):
    # The copy lists an endpoint as ready that had reported draining, and one
    # as listed that had been removed.
    async def check():
        async with run_fleet(tmp_path, 4) as (harnesses, _):
            site = harnesses[0].site
            site.plain.extend(make_plain(4)[2:])
            for endpoint in site.plain[2:]:
                await endpoint.start()
                site.list_endpoint(endpoint)
            await asyncio.sleep(1)
            copy = site.store.take_copy()
            site.list_endpoint(site.plain[0], state='draining')
            site.unlist('page-1')
            await harnesses[0].wait_until(
                lambda: all(
                    list_known(harness)[1] == {'page-2', 'page-3'}
                    for harness in harnesses
                )
            )
            await return_from(site, copy)
            for _ in range(30):
                await asyncio.sleep(0.1)
                live = [list_known(harness)[1] for harness in harnesses]
                assert all(one == {'page-2', 'page-3'} for one in live)
            # Its heartbeat shows that it lives.
            site.list_endpoint(site.plain[1])
            await harnesses[0].wait_until(
                lambda: all(
                    'page-1' in list_known(harness)[1] for harness in harnesses
                )
            )

    run(check())


def test_endpoint_missing_after_a_return_is_used_meanwhile(tmp_path):
    # All endpoints are younger than the copy; they write their entries again a
    # moment later.
    async def check():
        async with run_fleet(tmp_path, 4) as (harnesses, _):
            site = harnesses[0].site
            await return_from(site, {})
            for _ in range(5):
                await asyncio.sleep(0.1)
                for harness in harnesses:
                    status, _, _ = await harness.send(
                        '/archive/1', method='GET'
                    )
                    assert status == 200

    run(check())


def test_instance_without_the_store_gets_the_new_era_from_peers(tmp_path):
    # The store refuses it from before the return on, so it sees no answer of
    # the new era.
    async def check():
        async with run_fleet(tmp_path, 4, entrances=1) as (harnesses, own):
            site = harnesses[0].site
            copy = site.store.take_copy()
            site.publish()
            await wait_version(harnesses, site.version, 2)
            own[0].faults.down = 503
            await asyncio.sleep(1.5)
            await return_from(site, copy)
            await publish_again(site)
            await asyncio.sleep(1)
            site.publish()
            site.list_endpoint(site.plain[0], state='draining')
            await wait_version(harnesses, site.version, 2)
            await harnesses[0].wait_until(
                lambda: list_known(harnesses[0])[1] == {'page-1'}, 1.5
            )
            assert harnesses[0].gateway.core.store.era.current == 1

    run(check())


def test_two_returns_in_a_row(tmp_path):
    async def check():
        async with run_fleet(tmp_path, 5) as (harnesses, _):
            site = harnesses[0].site
            copy = site.store.take_copy()
            site.publish()
            await wait_version(harnesses, site.version, 2)
            await return_from(site, copy)
            await asyncio.sleep(0.1)
            await return_from(site, copy)
            await publish_again(site)
            site.publish()
            await wait_version(harnesses, site.version, 2)

    run(check())


def test_return_costs_the_whole_reads_of_two_instances(tmp_path):
    # If each instance read each topic again, a large fleet would exceed the
    # store's limits just after it has returned.
    async def check():
        async with run_fleet(tmp_path) as (harnesses, _):
            site = harnesses[0].site
            copy = site.store.take_copy()
            for _ in range(3):
                site.publish()
            await wait_version(harnesses, site.version, 2)
            journal.recent.clear()
            before = dict(site.store.calls)
            await return_from(site, copy)
            await asyncio.sleep(3)
            returned = harnesses[0].log_lines('topic_returned')
            # Two topics at each instance, those of two read from the store.
            assert len(returned) == 2 * INSTANCES
            read = [line for line in returned if line['source'] == 'store']
            assert len(read) <= 4
            whole = site.store.calls['/-/log-newest'] - before['/-/log-newest']
            assert whole <= 4

    run(check())


@pytest.mark.parametrize('stated', ['', 'x', '0', '7'])
def test_odd_era_discards_nothing(tmp_path, stated):
    # Some answers state no era, none that can be read, a lower one, or one that
    # has jumped.
    async def check():
        async with run_fleet(tmp_path, 3) as (harnesses, _):
            site = harnesses[0].site
            faults = site.store.faults
            faults.stated_era = stated
            await asyncio.sleep(1.5)
            site.publish()
            await wait_version(harnesses, site.version, 2)
            faults.stated_era = None
            await asyncio.sleep(0.5)
            site.publish()
            await wait_version(harnesses, site.version, 2)
            assert harnesses[0].log_lines('era_odd')
            for harness in harnesses:
                assert list_known(harness)[1] == {'page-0', 'page-1'}

    run(check())
