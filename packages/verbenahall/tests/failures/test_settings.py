"""Settings survive the replacement of instances."""

import asyncio

import pytest
from returns.result import Failure, Success

from verbenahall.log import LogClient
from verbenahall.settings import SettingsFold, SettingsState, effective
from verbenahall.snapshots import SnapshotStore
from verbenahall.snapshots._packing import decode_packed, unpack

pytestmark = pytest.mark.process

#: Records that the log keeps, as an option of its command line.
KEPT_RECORDS = '60'
FORBIDDEN = 403


async def read_queues(fleet, name):
    """Return the queue limit of each workspace from a snapshot."""
    answer = await fleet.call('GET', name, '/peer/v1/snapshot')
    if answer.status == FORBIDDEN:
        # The instance does not list an instance on this host yet.
        return {}
    snapshot = decode_packed(answer.body.encode()).bind(unpack).unwrap()
    fold = SettingsFold(SettingsState())
    fold.load(snapshot.sections['settings'])
    workspaces = effective(fold.state).workspaces.values()
    return {workspace.name: workspace.queue for workspace in workspaces}


async def publish(client, name, base, queue):
    """Publish the queue limit of a workspace; return the offset."""
    change = {
        'path': f'desk/workspaces/{name}',
        'base': base,
        'value': {'queue': queue},
    }
    body = {'team': 'desk', 'author': 'ann', 'changes': [change]}
    return (await client.append('settings', body)).unwrap()


async def publish_many(client, count):
    """Publish one workspace repeatedly, below the log's rate limit."""
    offset = 0
    queue = 0
    while queue < count:
        queue += 1
        offset = await publish(client, 'club', offset, queue)
        await asyncio.sleep(0.01)


def accept_any(snapshot):
    """Accept every valid snapshot."""
    return Success(None)


async def wait_for_snapshot(client):
    """Wait for a snapshot that reaches the records the log still keeps."""
    store = SnapshotStore(client)
    joined = Failure(None)
    while joined.value_or(0) == 0:
        await asyncio.sleep(0.05)
        first = (await client.read(0, 1)).unwrap().first
        joined = await store.apply_newest(first - 1, accept_any)


def test_all_instances_killed_after_retention(run):
    """All instances are killed after the log has dropped the first settings.

    The log keeps 60 records and 200 follow the first setting. A new instance
    must restore the limits of all workspaces from a snapshot.
    """

    async def scenario(fleet):
        fleet.start('short', 'log', '--kept', KEPT_RECORDS)
        address = fleet.processes['short'].address
        client = LogClient(address, fleet.session, 'author')
        await asyncio.gather(
            fleet.start_instance('old-1', address),
            fleet.start_instance('old-2', address),
        )
        await publish(client, 'first', 0, 7)
        await publish_many(client, 200)
        await wait_for_snapshot(client)
        fleet.processes.pop('old-1').kill()
        fleet.processes.pop('old-2').kill()
        await fleet.start_instance('new-1', address)
        await fleet.wait_until_ready('new-1')

        assert (await client.read(0, 1)).unwrap().first > 1
        assert await read_queues(fleet, 'new-1') == {'first': 7, 'club': 200}

    run(scenario)


def test_instance_replaced_while_the_log_is_down(run):
    """An instance that starts while the log is down has the settings."""

    async def scenario(fleet):
        address = fleet.processes['log'].address
        client = LogClient(address, fleet.session, 'author')
        await publish(client, 'club', 0, 5)
        while 'club' not in await read_queues(fleet, 'i-1'):
            await asyncio.sleep(0.05)
        await fleet.set_fault('log', name='down')
        fleet.processes.pop('i-2').kill()
        await fleet.start_instance('i-3')
        await fleet.wait_until_ready('i-3')

        assert await read_queues(fleet, 'i-3') == {'club': 5}
        assert (await fleet.complete('i-3')).status == 200

    run(scenario)
