"""Engine states that are newer than the list of endpoints."""

import asyncio
from types import MappingProxyType

import pytest
from aiohttp import ClientSession, web

from verbenahall import wire
from verbenahall.authority import AuthorityState
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.instance._membership_adapter import MembershipAdapter
from verbenahall.load import EngineStates, LoadState, StatePoller
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    find_endpoint,
    get_status,
)
from verbenahall.orders import OrdersState
from verbenahall.snapshots import SnapshotManager
from verbenahall_standins.memory import MemoryLog

STATE = MappingProxyType(
    {
        'name': 'e',
        'incarnation': 'new',
        'role': 'mixed',
        'models': {'drafter': '1'},
        'adapters': [],
        'changing': False,
        'leaving': False,
        'resumes': True,
        'running': 0,
        'queued': 0,
        'kv_free_share': 1,
    },
)


async def poll_once(listed, overrides):
    """Poll one engine; return the membership after its answer."""

    async def answer(request):
        return web.Response(body=wire.encode({**STATE, **overrides}))

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    members = MembershipState()
    adapter = MembershipAdapter(members, OrdersState(AuthorityState()))
    engine = Endpoint('e', EndpointKind.ENGINE, f'{host}:{port}', 'ain', listed)
    apply_list(members, [ListEntry(engine)], 0)
    async with ClientSession() as session:
        poller = StatePoller(
            session,
            lambda: [engine],
            EngineStates(),
            LoadState(),
            1,
            on_success=adapter.report_answer,
            on_failure=adapter.report_failure,
            on_state=adapter.report_state,
        )
        await poller.poll()
    await runner.cleanup()
    return members


@pytest.mark.parametrize('listed', ['', 'old', 'new'])
def test_incarnation_is_taken_from_the_engine_s_state(listed):
    """An engine was replaced under its name, and the list is outdated.

    Requests go only to the incarnation in the membership. With the list alone,
    callers would get "no engine" although the new engine is idle.
    """
    members = asyncio.run(poll_once(listed, {}))

    assert find_endpoint(members, 'e').incarnation == 'new'
    assert get_status(members, 'e', 1) is EndpointStatus.LIVE


def test_leaving_is_taken_from_the_engine_s_state():
    """An engine reports that it is leaving before the list shows it."""
    members = asyncio.run(poll_once('new', {'leaving': True}))

    assert get_status(members, 'e', 1) is EndpointStatus.LEAVING


def test_idle_log_counts_as_contacted_at_once():
    """An instance starts while no records are appended to the log.

    If the log counted as contacted only after the first long poll, the
    instance would claim no lease, and engines would wait for their orders.
    """
    manager = SnapshotManager(MemoryLog(), [], None, list)

    asyncio.run(manager.start())

    assert manager.follower.last_contact > 0
