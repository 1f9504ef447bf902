"""Access to the snapshot of an instance."""

import asyncio

import pytest
from aiohttp import ClientSession, web

from verbenahall.errors import ProblemError
from verbenahall.settings import SettingsFold, SettingsState
from verbenahall.snapshots import SNAPSHOT_PATH, SnapshotManager
from verbenahall_standins.memory import MemoryLog


@web.middleware
async def convert_problem(request, handler):
    try:
        return await handler(request)
    except ProblemError as error:
        return web.Response(status=error.problem.answer.status)


async def fetch_status(is_peer):
    manager = SnapshotManager(
        MemoryLog(),
        [SettingsFold(SettingsState())],
        None,
        list,
        is_peer=is_peer,
    )
    await manager.start()
    app = web.Application(middlewares=(convert_problem,))
    manager.add_routes(app)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    async with ClientSession() as session:
        url = f'http://{host}:{port}{SNAPSHOT_PATH}'
        async with session.get(url) as answer:
            status = answer.status
    await runner.cleanup()
    return status


@pytest.mark.parametrize(
    ('host', 'status'),
    [('127.0.0.1', 200), ('127.0.0.2', 403)],
)
def test_only_hosts_of_listed_instances_get_snapshots(host, status):
    """A process that is no listed instance requests a snapshot.

    With it the process could read the settings of all teams without
    credentials.
    """
    assert asyncio.run(fetch_status(lambda remote: remote == host)) == status
