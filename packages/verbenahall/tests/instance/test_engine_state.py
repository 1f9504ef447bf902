"""An engine's own word against a list that lags or names no life of it."""

import asyncio
from types import MappingProxyType

import pytest
from aiohttp import ClientSession, web

from verbenahall import wire
from verbenahall.authority import AuthorityState
from verbenahall.fleet import Endpoint, EndpointKind, Standing
from verbenahall.instance._membership_adapter import Experience
from verbenahall.load import EngineStates, LoadState, StatePoller
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    find,
    standing_of,
)
from verbenahall.orders import OrdersState
from verbenahall.snapshots import SnapshotKeeper
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


async def poll_once(listed, told):
    """Poll one engine; return membership after its answer."""

    async def answer(request):
        return web.Response(body=wire.encode({**STATE, **told}))

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    members = MembershipState()
    experience = Experience(members, OrdersState(AuthorityState()))
    engine = Endpoint('e', EndpointKind.ENGINE, f'{host}:{port}', 'ain', listed)
    apply_list(members, [ListEntry(engine)], 0)
    async with ClientSession() as session:
        poller = StatePoller(
            session,
            lambda: [engine],
            EngineStates(),
            LoadState(),
            1,
            heard=experience.heard,
            missed=experience.missed,
            told=experience.told,
        )
        await poller.poll()
    await runner.cleanup()
    return members


@pytest.mark.parametrize('listed', ['', 'old', 'new'])
def test_engine_is_known_by_its_own_word(listed):
    """An engine was replaced under its name, and the list does not tell yet.

    Requests go to a known life only: with the list's word alone callers are
    told that no engine holds the model, though it stands idle.
    """
    members = asyncio.run(poll_once(listed, {}))

    assert find(members, 'e').incarnation == 'new'
    assert standing_of(members, 'e', 1) is Standing.LIVE


def test_leaving_is_taken_from_the_engine_itself():
    """An engine says that it leaves before the list shows it."""
    members = asyncio.run(poll_once('new', {'leaving': True}))

    assert standing_of(members, 'e', 1) is Standing.LEAVING


def test_quiet_log_counts_as_heard_from_the_start():
    """An instance starts on a log to which nobody appends.

    Unheard for a whole long poll, the instance claims no lease, and engines
    wait for their orders.
    """
    keeper = SnapshotKeeper(MemoryLog(), [], None, list)

    asyncio.run(keeper.start())

    assert keeper.follower.last_contact > 0
