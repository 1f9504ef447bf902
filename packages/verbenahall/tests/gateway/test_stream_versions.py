"""Streams of a service whose engines run several software versions."""

import asyncio
import contextlib

import aiohttp
import pytest

from .conftest import run, run_gateway
from .versioned_fleet import (
    break_streams,
    list_versions,
    make_resume_headers,
    make_versioned_engines,
    mend_streams,
    run_instances,
)

STREAMS = 12


async def begin_broken(harness, identity):
    """Begin a stream that breaks after two events."""
    with contextlib.suppress(aiohttp.ClientError):
        await harness.send('/summary/1', identity)


async def begin_streams(harness, count=STREAMS):
    """Begin streams that break; return the ids of those with events."""
    break_streams(harness.site)
    identities = [f'first-{number}' for number in range(count)]
    for identity in identities:
        await begin_broken(harness, identity)
    mend_streams(harness.site)
    return [one for one in identities if list_versions(harness.site, one)]


async def take_up(harness, first):
    """Take a stream up again; return its status."""
    status, _, _ = await harness.send(
        '/summary/1', f'again-{first}', headers=make_resume_headers(first)
    )
    return status


def test_stream_is_not_resumed_by_an_engine_of_another_version(tmp_path):
    # The engine of a stream breaks off, and the instance itself goes on at an
    # engine whose events do not fit to those that the caller has.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_gateway(tmp_path, engines) as harness:
            begun = await begin_streams(harness)
            assert len(begun) == STREAMS
            mixed = [
                one
                for one in begun
                if len(list_versions(harness.site, one)) > 1
            ]
            assert not mixed

    run(check())


def test_stream_is_taken_up_at_its_version_by_another_instance(tmp_path):
    # The caller's next try reaches an instance that has not begun the stream.
    async def check():
        engines = make_versioned_engines(v1=2, v2=2)
        async with run_instances(tmp_path, engines) as (first, second):
            begun = await begin_streams(first)
            assert len(begun) == STREAMS
            statuses = [await take_up(second, one) for one in begun]
            mixed = [
                one
                for one in begun
                if len(list_versions(first.site, one, f'again-{one}')) > 1
            ]
            assert not mixed
            assert set(statuses) == {200}

    run(check())


def test_stream_is_taken_up_at_its_version_after_its_instance_ended(tmp_path):
    # The instance that knew the version is gone when the caller returns.
    async def check():
        engines = make_versioned_engines(v1=2, v2=2)
        async with run_instances(tmp_path, engines, 3) as harnesses:
            first, second, _ = harnesses
            begun = await begin_streams(second)
            assert len(begun) == STREAMS
            await second.gateway.close()
            statuses = [await take_up(first, one) for one in begun]
            mixed = [
                one
                for one in begun
                if len(list_versions(first.site, one, f'again-{one}')) > 1
            ]
            assert not mixed
            assert set(statuses) == {200}

    run(check())


class DeafVersions:
    """Stream versions of an instance that has heard no peer for a while."""

    def __init__(self, core):
        self._core = core
        self._versions = core.stream_versions
        core.stream_versions = self

    def record_begun(self, call, engine):
        """Record a beginning, the heartbeats of all peers being too old."""
        for peer in self._core.peer_table.peers.values():
            peer.last_heartbeat_at = self._core.now() - 2
        self._versions.record_begun(call, engine)


def test_stream_that_began_while_no_peer_was_heard_is_taken_up(tmp_path):
    # The instance was paused for more than a second before the stream began,
    # and took all its peers for dead: it told none of them, then or later.
    async def check():
        engines = make_versioned_engines(v1=2, v2=2)
        async with run_instances(tmp_path, engines, 2) as (first, second):
            DeafVersions(second.gateway.core)
            begun = await begin_streams(second, 4)
            await asyncio.sleep(0.5)
            await second.gateway.close()
            statuses = [await take_up(first, one) for one in begun]
            assert statuses == [200, 200, 200, 200]

    run(check())


@pytest.mark.parametrize(
    'headers',
    (
        {'Resumes': 'nobody', 'Last-Event-Id': '2'},
        {'Last-Event-Id': '2'},
        {'Resumes': 'a' * 8000, 'Last-Event-Id': '2'},
        {'Resumes': '', 'Last-Event-Id': '2'},
    ),
)
def test_stream_of_unknown_version_is_refused_at_once(tmp_path, headers):
    # At any version it could hold events that do not fit together.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_gateway(tmp_path, engines) as harness:
            loop = asyncio.get_running_loop()
            started = loop.time()
            status, answered, _ = await harness.send(
                '/summary/1', 'again', headers=headers
            )
            assert status == 503
            assert float(answered['Retry-After']) > 0
            assert loop.time() - started < 0.5
            assert not list_versions(harness.site, 'again')

    run(check())


def test_stream_whose_version_is_gone_is_refused_at_once(tmp_path):
    # The last engine of its version has left; begun anew at another one, the
    # stream would hold events of both.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_gateway(tmp_path, engines) as harness:
            begun = await begin_streams(harness)
            at_v1 = [
                one
                for one in begun
                if list_versions(harness.site, one) == {'v1'}
            ]
            assert at_v1
            harness.site.unlist('v1-0')
            harness.site.unlist('reader-v1')
            roster = harness.gateway.core.roster
            await harness.wait_until(lambda: 'v1-0' not in roster.listings)
            statuses = [await take_up(harness, one) for one in at_v1]
            assert set(statuses) == {503}
            again = [f'again-{one}' for one in at_v1]
            assert not list_versions(harness.site, *again)

    run(check())


def test_stream_is_not_guessed_after_all_instances_were_started_again(tmp_path):
    # The engine of the stream has left meanwhile, so that the list shows one
    # version, and nobody has a past.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_gateway(tmp_path, engines) as harness:
            site = harness.site
            begun = await begin_streams(harness)
            at_v2 = [one for one in begun if list_versions(site, one) == {'v2'}]
            assert at_v2
            read = site.store.newest
            await harness.wait_until(lambda: any(read('keyed.versions')), 4)
            await harness.gateway.close()
            site.unlist('v2-0')
            site.unlist('reader-v2')
            async with run_gateway(
                tmp_path, name='front-2', site=site
            ) as started:
                await asyncio.sleep(0.5)
                statuses = [await take_up(started, one) for one in at_v2]
                assert set(statuses) == {503}
                again = [f'again-{one}' for one in at_v2]
                assert not list_versions(site, *again)

    run(check())


async def stop_following(harness):
    """Let an instance get no news of the endpoints, by store or by peer."""
    gateway = harness.gateway
    for loop in ('', 'refresh ', 'relay '):
        await gateway._supervisor.stop(f'{loop}keyed.servers')
    gateway.finder.exchange.on_update = lambda update: None


@pytest.mark.parametrize('status', (0, 503))
def test_list_that_lags_is_no_proof_of_a_sole_version(tmp_path, status):
    # An instance whose list is a second old knew of one version; a stream had
    # begun at the next one at an instance that ended with its owners. The store
    # answers the first instance or refuses it.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_instances(
            tmp_path, engines[:1] + engines[2:3]
        ) as harnesses:
            first, second = harnesses
            site = first.site
            await stop_following(first)
            # The datagrams to the owners of the streams are lost.
            second.gateway.finder.exchange.send = lambda *_: None
            for engine in (engines[1], engines[3]):
                await engine.start()
                site.engines.append(engine)
                site.list_endpoint(engine)
            roster = second.gateway.core.roster
            await second.wait_until(lambda: engines[3].name in roster.listings)
            begun = await begin_streams(second)
            await second.gateway.close()
            site.store.faults.down = status
            await check_refused(first, list_at(site, begun, 'v2'))

    run(check())


def list_at(site, begun, version):
    """Return the streams that began at a version."""
    return [one for one in begun if list_versions(site, one) == {version}]


def unlist_version(site, version):
    """Remove the entries of all engines of a version."""
    for engine in site.engines:
        if engine.version == version:
            site.unlist(engine.name)


async def check_refused(harness, streams):
    """Check that streams are refused and run at no engine."""
    assert streams
    statuses = [await take_up(harness, one) for one in streams]
    again = [f'again-{one}' for one in streams]
    assert not list_versions(harness.site, *again)
    assert set(statuses) == {503}


@pytest.mark.parametrize('late_s', (0.0, 2.2, 2.7))
def test_versions_on_record_outlast_a_late_manifest(tmp_path, late_s):
    # Without a manifest the started instance forgot the versions on record
    # after two seconds, and took the one on its list for the only one.
    async def check():
        async with run_gateway(
            tmp_path, make_versioned_engines(v1=1, v2=1)
        ) as harness:
            site = harness.site
            begun = await begin_streams(harness)
            read = site.store.newest
            await harness.wait_until(lambda: any(read('keyed.versions')), 4)
            await harness.gateway.close()
            unlist_version(site, 'v2')
            site.store.put('keyed.op', 'config', b'')
            asyncio.get_running_loop().call_later(late_s, site.publish)
            async with run_gateway(
                tmp_path, name='front-2', site=site
            ) as started:
                await asyncio.sleep(0.3)
                await check_refused(started, list_at(site, begun, 'v2'))

    run(check())


@pytest.mark.parametrize('status', (429, 503, 507))
@pytest.mark.parametrize('starts', (1, 2))
def test_missing_record_of_versions_is_no_proof(tmp_path, status, starts):
    # No writer reached the store, and its history is gone; a started instance
    # took the absence of a record for a proof that there was one version.
    async def check():
        async with run_gateway(
            tmp_path, make_versioned_engines(v1=1, v2=1)
        ) as harness:
            site = harness.site
            site.store.faults.append_status = status
            begun = await begin_streams(harness)
            await asyncio.sleep(1.2)
            await harness.gateway.close()
            unlist_version(site, 'v2')
            site.store.delete_old_records('keyed.servers')
            for number in range(starts):
                async with run_gateway(
                    tmp_path, name=f'front-{number + 2}', site=site
                ) as started:
                    await asyncio.sleep(0.5)
                    await check_refused(started, list_at(site, begun, 'v2'))

    run(check())


@pytest.mark.parametrize('history_is_lost', (False, True))
def test_version_listed_just_before_all_instances_end_counts(
    tmp_path, history_is_lost
):
    # All instances ended before any had recorded the second version.
    async def check():
        engines = make_versioned_engines(v1=1, v2=1)
        async with run_gateway(tmp_path, engines[:1] + engines[2:3]) as harness:
            site = harness.site
            await asyncio.sleep(2)
            begun = await begin_streams(harness)
            # Nothing is written between the list and the end.
            site.store.faults.append_status = 503
            for engine in (engines[1], engines[3]):
                await engine.start()
                site.engines.append(engine)
                site.list_endpoint(engine)
            roster = harness.gateway.core.roster
            await harness.wait_until(lambda: engines[3].name in roster.listings)
            await harness.gateway.close()
            site.store.faults.append_status = 0
            unlist_version(site, 'v1')
            if history_is_lost:
                site.store.delete_old_records('keyed.servers')
            async with run_gateway(
                tmp_path, name='front-2', site=site
            ) as started:
                await asyncio.sleep(0.5)
                await check_refused(started, list_at(site, begun, 'v1'))

    run(check())


def test_stream_goes_on_after_all_instances_were_started_again(tmp_path):
    # The service has one version, and the store knows of no other.
    async def check():
        engines = make_versioned_engines(v1=2)
        async with run_gateway(tmp_path, engines) as harness:
            begun = await begin_streams(harness)
            await harness.gateway.close()
            async with run_gateway(
                tmp_path, name='front-2', site=harness.site
            ) as started:
                await asyncio.sleep(0.5)
                statuses = [await take_up(started, one) for one in begun]
                assert set(statuses) == {200}

    run(check())
