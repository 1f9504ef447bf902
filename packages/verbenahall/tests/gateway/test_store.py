"""The store is unreachable, loses history, or returns invalid records."""

import asyncio
import socket
import time

import aiohttp
import pytest
from verbenahall_standins.platform import EngineStandIn, Site, write_settings

from verbenahall.gateway import Gateway
from verbenahall.gateway import _followers as followers
from verbenahall.peers import add_peer, record_heartbeat
from verbenahall.platform import read_settings

from .conftest import (
    HOST,
    PREFIX,
    GatewayHarness,
    dump,
    make_engines,
    make_plain,
    run,
    run_gateway,
)


def test_new_manifest_is_in_force_at_once(tmp_path):
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            state = harness.gateway.core.catalog
            harness.site.publish(routes=[])
            await harness.wait_until(lambda: state.catalog.version == 2, 0.5)
            assert (await harness.send('/archive/1'))[0] == 404

    run(check())


def test_unreadable_manifest_leaves_the_last_one_in_force(tmp_path):
    # A manifest arrives that cannot be decoded. If it were applied in part,
    # callers of the routes that are missing from it would get a 404.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.site.publish(routes=[{'name': 'half'}])
            await harness.wait_until(
                lambda: harness.log_lines('manifest_unreadable')
            )
            assert (await harness.send('/archive/1', method='GET'))[0] == 200

    run(check())


@pytest.mark.parametrize(
    'content',
    [
        b'\xff\xfe\x00',
        b'[]',
        b'{}',
        b'{"service":"pages"}',
        dump({'service': 'pages', 'address': 5, 'zone': 'z', 'state': 'ready'}),
        dump(
            {
                'service': 'pages',
                'address': '10.0.0.1:80',
                'zone': 'z',
                'state': 'asleep',
            },
        ),
        dump(
            {
                'service': 'pages',
                'address': 'nowhere',
                'zone': 'z',
                'state': 'ready',
            },
        ),
    ],
)
def test_unreadable_entry_is_no_endpoint_and_the_others_hold(
    tmp_path,
    content,
):
    # Another writer adds an entry that cannot be decoded. Requests must neither
    # be sent there nor fail because of it.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.site.store.put('keyed.servers', 'odd', content)
            await harness.wait_until(
                lambda: harness.log_lines('endpoint_unreadable')
            )
            assert 'odd' not in harness.gateway.core.roster.listings
            assert (await harness.send('/archive/1', method='GET'))[0] == 200

    run(check())


@pytest.mark.parametrize('history_is_lost', (False, True))
def test_leaving_in_an_unreadable_entry_is_heeded(tmp_path, history_is_lost):
    # The entry with the leaving has another field that cannot be read; it was
    # skipped, and the endpoint got requests for as long as it served.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(2)) as harness:
            store = harness.site.store
            if history_is_lost:
                store.faults.down = 503
                await harness.wait_until(
                    lambda: harness.log_lines('store_lost')
                )
            for _ in range(2):
                harness.site.list_endpoint(
                    harness.site.plain[0], state='draining', slots='none'
                )
            if history_is_lost:
                store.delete_old_records('keyed.servers')
            store.faults.down = 0
            roster = harness.gateway.core.roster
            await harness.wait_until(
                lambda: (
                    not roster.is_live('page-0', harness.gateway.core.now())
                ),
                2,
            )

    run(check())


def test_listed_endpoint_outlives_an_entry_that_cannot_be_read(tmp_path):
    # An endpoint's entry is overwritten with one that cannot be decoded, and
    # the store deletes history, so the list is read whole. The endpoint is
    # still listed and answers; if it were removed, callers would be refused.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            store = harness.site.store
            store.faults.down = 503
            await harness.wait_until(lambda: harness.log_lines('store_lost'))
            for _ in range(2):
                store.put('keyed.servers', 'page-0', b'[]')
            store.delete_old_records('keyed.servers')
            store.faults.down = 0
            await harness.wait_until(
                lambda: harness.log_lines('endpoint_unreadable')
            )
            # Longer than an endpoint without an entry is kept.
            await asyncio.sleep(2)
            assert (await harness.send('/archive/1', method='GET'))[0] == 200

    run(check())


def test_requests_are_served_while_the_store_is_down(tmp_path):
    # The store is down for minutes. Requests are served by the last known
    # state.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.site.store.faults.down = 503
            harness.site.publish()
            await harness.wait_until(lambda: harness.log_lines('store_lost'))
            assert (await harness.send('/archive/1', method='GET'))[0] == 200
            harness.site.store.faults.down = 0
            state = harness.gateway.core.catalog
            await harness.wait_until(lambda: state.catalog.version == 2, 1.9)

    run(check())


def test_lost_history_is_read_anew(tmp_path):
    # The store deletes records that this instance has not read yet. If it kept
    # polling for them, it would never receive another change.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            store = harness.site.store
            store.faults.down = 503
            await harness.wait_until(lambda: harness.log_lines('store_lost'))
            for _ in range(3):
                harness.site.publish()
            store.delete_old_records('keyed.op')
            store.faults.down = 0
            state = harness.gateway.core.catalog
            await harness.wait_until(lambda: state.catalog.version == 4, 1.9)

    run(check())


def test_poll_that_is_not_woken_misses_a_change_only_briefly(
    tmp_path,
    monkeypatch,
):
    # A poll arrives while a record is being appended, and is not woken by it.
    # Of two engines that changed roles together, one was sent work for its old
    # role until the poll timed out.
    async def check():
        engines = make_engines()
        async with run_gateway(tmp_path, engines) as harness:
            store = harness.site.store
            roster = harness.gateway.core.roster
            harness.site.list_endpoint(engines[0], slots=5)
            await harness.wait_until(
                lambda: roster.listings['reader-0'].entry.slots == 5,
            )
            store.faults.miss_wakeups = True
            await asyncio.sleep(0.05)
            harness.site.list_endpoint(engines[1], slots=6)
            await harness.wait_until(
                lambda: roster.listings['reader-1'].entry.slots == 6,
                1,
            )

    run(check())


def test_idle_instance_makes_few_calls(tmp_path, monkeypatch):
    monkeypatch.setattr(followers, '_POLL_S', 0.5)

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            await asyncio.sleep(1)
            before = sum(harness.site.store.calls.values())
            await asyncio.sleep(1)
            assert sum(harness.site.store.calls.values()) - before <= 5

    run(check())


def test_engines_get_the_planned_roles_under_one_lease(tmp_path):
    # Three instances see that too many engines decode. If all of them ordered
    # changes, an engine would get conflicting orders; so each order needs the
    # one lease.
    async def check():
        engines = [EngineStandIn(f'e{n}', 'decode') for n in range(3)]
        async with run_gateway(tmp_path, engines) as one:
            async with run_gateway(tmp_path, name='front-2', site=one.site):
                await one.wait_until(
                    lambda: sum(len(e.orders) for e in engines) == 2,
                    8,
                )
                given = [order for e in engines for order in e.orders]
                assert len({order['holder'] for order in given}) == 1
                assert len({order['fence'] for order in given}) == 1
                assert {order['stage'] for order in given} == {'prefill'}

    run(check())


def test_instance_cut_off_without_engines_sends_its_callers_elsewhere(
    tmp_path,
):
    # A data centre is cut off and has no decode engine on its side. If its
    # instances stayed ready, they would refuse their callers for as long as
    # the partition lasts, though instances on the other side could serve them.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            gateway = harness.gateway
            now = gateway.core.now
            for number in range(3):
                add_peer(
                    gateway.core.peer_table, f'front-{number + 2}', '10.0.0.9:9'
                )
            await asyncio.sleep(0.2)
            assert await harness.is_ready()
            gateway.core.endpoint_health.record_unreachable(
                'generator-0', now()
            )
            await harness.site.engines[2].stop()
            await asyncio.sleep(0.7)
            assert not await harness.is_ready()
            _, headers, _ = await harness.send('/blurb/1')
            assert headers['Connection'] == 'close'

    run(check())


def test_instance_stays_ready_when_engines_fail_for_all_instances(tmp_path):
    # All engines have crashed. The other instances can't serve requests either,
    # and if none were ready the balancer would have no instance left.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            gateway = harness.gateway
            peer_table = gateway.core.peer_table
            add_peer(peer_table, 'front-2', '10.0.0.9:9')
            add_peer(peer_table, 'front-3', '10.0.0.8:9')
            gateway.core.endpoint_health.record_unreachable(
                'generator-0',
                gateway.core.now(),
            )
            await harness.site.engines[2].stop()
            for number in range(8):
                record_heartbeat(
                    peer_table, 'front-2', number, gateway.core.now()
                )
                record_heartbeat(
                    peer_table, 'front-3', number, gateway.core.now()
                )
                await asyncio.sleep(0.1)
            assert await harness.is_ready()

    run(check())


def test_poll_that_the_store_swallowed_is_given_up_in_time(tmp_path):
    # The store is unresponsive for a moment, and a poll that arrives then is
    # never answered. While it waited for the poll to time out, an instance
    # served by an old manifest for seconds after the store had recovered.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            state = harness.gateway.core.catalog
            harness.site.publish()
            await harness.wait_until(lambda: state.catalog.version == 2)
            await asyncio.sleep(0.35)
            harness.site.store.faults.silent = True
            await asyncio.sleep(0.65)
            harness.site.store.faults.silent = False
            harness.site.publish()
            await harness.wait_until(lambda: state.catalog.version == 3, 2.9)

    run(check())


def test_state_of_an_unlisted_endpoint_is_removed(tmp_path):
    # Endpoints are replaced all day, each under a new name. If their state
    # were kept, the instance would run out of memory and be killed.
    async def check():
        async with run_gateway(tmp_path, make_engines()) as harness:
            core = harness.gateway.core
            await harness.send('/blurb/1')
            assert core.endpoint_health.has('generator-0')
            harness.site.unlist('generator-0')
            await harness.wait_until(
                lambda: 'generator-0' not in core.roster.listings
            )
            assert not core.endpoint_health.has('generator-0')
            assert core.endpoint_health.has(
                'reader-0'
            ) or core.endpoint_health.has(
                'reader-1',
            )

    run(check())


def test_process_that_stood_still_asks_for_the_manifest_first(tmp_path):
    """A route is removed while the process is stalled."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain()) as harness:
            host, _, port = harness.gateway.core.settings.callers.rpartition(
                ':'
            )
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(
                    f'GET /archive/1 HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'{PREFIX}Request-Id: r-1\r\n\r\n'.encode(),
                )
                harness.site.publish(routes=[])
                time.sleep(2.5)
                await harness.wait_until(lambda: harness.log_lines('refused'))

    run(check())


def test_instance_without_a_manifest_refuses_and_is_not_ready(tmp_path):
    # A balancer's caller was sent to an instance that had just started: without
    # an answer the request would be lost, and without a refusal it might run.
    async def check():
        site = Site(plain=make_plain())
        await site.start()
        site.store.faults.down = 503
        settings = read_settings(write_settings(tmp_path, site.store.address))
        gateway = Gateway(settings.unwrap())
        await gateway.open()
        async with aiohttp.ClientSession() as session:
            harness = GatewayHarness(site, gateway, session)
            status, headers, _ = await harness.send('/archive/1', method='GET')
            assert (status, await harness.is_ready()) == (503, False)
            assert float(headers['Retry-After']) > 0
            site.store.faults.down = 0
            await harness.wait_until(lambda: gateway.core.ready)
            status, _, _ = await harness.send('/archive/1', method='GET')
            assert status == 200
        await gateway.close()
        await site.stop()

    run(check())
