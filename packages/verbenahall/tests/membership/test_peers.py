"""Heartbeats between instances: contents, effects and refusals."""

import asyncio
from collections import Counter

import pytest
from aiohttp import ClientSession, web

from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.membership import (
    InstanceStatus,
    ListEntry,
    MembershipState,
    PeerExchange,
    apply_list,
    get_status,
    observe_failure,
    observe_leaving,
    observe_state,
)
from verbenahall.membership._peers import (
    apply_heartbeat,
    build_heartbeat,
    choose_peers,
)

NAMES = tuple(f'i{number}' for number in range(6))
ENGINE = Endpoint('e', EndpointKind.ENGINE, '127.0.0.1:1', 'ain', 'a')


def make_instance(name, address='127.0.0.1:2'):
    return Endpoint(name, EndpointKind.INSTANCE, address, 'ain', 'a')


def make_state():
    instances = [make_instance(name, f'127.0.0.1:{name}') for name in NAMES]
    state = MembershipState()
    apply_list(state, map(ListEntry, (ENGINE, *instances)), 0)
    return state


def send_heartbeat(source, name, target, now):
    heartbeat = build_heartbeat(
        source,
        (name, 'own-life'),
        InstanceStatus(ready=True, position=7),
        now,
        leaving=False,
    )
    apply_heartbeat(target, heartbeat, now)


def test_leaving_word_spreads_and_dies_out():
    """An engine reports to one instance that it leaves, then that it stays.

    Both reports must reach the peers. A notice that circulates among them
    for ever would keep a healthy engine without requests.
    """
    first, second, third = make_state(), make_state(), make_state()
    observe_leaving(first, 'e', 1)
    send_heartbeat(first, 'i0', second, 1.5)
    send_heartbeat(second, 'i1', third, 2)
    assert get_status(third, 'e', 2) is EndpointStatus.LEAVING

    observe_state(third, 'e', 'a', leaving=False, now=3)
    send_heartbeat(second, 'i1', third, 4)
    assert get_status(third, 'e', 4) is EndpointStatus.LIVE

    newcomer = make_state()
    send_heartbeat(first, 'i0', newcomer, 30)
    assert get_status(newcomer, 'e', 30) is EndpointStatus.LIVE


def test_peers_alone_silence_nobody():
    """Peers are cut off from an engine that this instance still reaches.

    Their suspicions alone must not remove it here. Together with one failure
    seen by this instance they spare callers two more failures.
    """
    state = make_state()
    for name in NAMES[1:4]:
        peer = make_state()
        observe_failure(peer, 'e', 1)
        send_heartbeat(peer, name, state, 1)
    assert get_status(state, 'e', 1) is EndpointStatus.LIVE

    observe_failure(state, 'e', 1.5)
    assert get_status(state, 'e', 1.5) is EndpointStatus.SILENT


def test_a_peer_may_name_its_life_in_its_own_way():
    """The list uses another incarnation for an instance than itself does.

    If the instance counted as another process, the list's leaving mark
    would be ignored.
    """
    state = make_state()
    send_heartbeat(make_state(), 'i0', state, 1)
    gone = [ListEntry(make_instance('i0', '127.0.0.1:i0'), leaving=True)]
    rest = [make_instance(name, f'127.0.0.1:{name}') for name in NAMES[1:]]
    apply_list(state, [*gone, *map(ListEntry, (ENGINE, *rest))], 2)
    assert get_status(state, 'i0', 2) is EndpointStatus.LEAVING


def test_peers_are_chosen_evenly():
    """No instance may get too many heartbeats, or none for a long time."""
    names = [f'i{number}' for number in range(50)]
    chosen = Counter()
    for epoch in range(20):
        for own in names:
            chosen.update(choose_peers(own, names, epoch, 2))

    assert set(chosen) == set(names)
    assert max(chosen.values()) < 80
    assert not choose_peers('i0', ['i0'], 0, 2)


async def start_instance(name, session):
    """Start an exchange; return its runner, state, exchange and endpoint."""
    app = web.Application()
    runner = web.AppRunner(app)
    state = MembershipState()
    exchange = PeerExchange(
        session,
        state,
        make_instance(name),
        lambda: InstanceStatus(ready=True, position=3),
        0.05,
    )
    exchange.add_routes(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    return runner, state, exchange, make_instance(name, f'{host}:{port}')


async def wait_until_leaving(states, name):
    async with asyncio.timeout(30):
        while {get_status(one, name, 0) for one in states} != {
            EndpointStatus.LEAVING
        }:
            await asyncio.sleep(0.02)


def test_heartbeats_over_http():
    """An engine reports to one of six instances that it leaves; one stops.

    All other instances must learn both within seconds, though the platform's
    list shows neither.
    """

    async def main():
        async with ClientSession() as session:
            started = [start_instance(name, session) for name in NAMES]
            instances = await asyncio.gather(*started)
            runners, states, exchanges, endpoints = zip(*instances, strict=True)
            now = asyncio.get_running_loop().time()
            for state in states:
                apply_list(state, map(ListEntry, (ENGINE, *endpoints)), now)
            runs = [asyncio.create_task(one.run()) for one in exchanges]
            observe_leaving(states[0], 'e', now)
            await wait_until_leaving(states, 'e')
            runs[5].cancel()
            await exchanges[5].announce_leaving()
            await wait_until_leaving(states[:5], 'i5')
            views = [view for one in states for view in one.peers.values()]
            assert {view.report.position for view in views} == {3}
            for task in runs:
                task.cancel()
            await asyncio.gather(*(runner.cleanup() for runner in runners))

    asyncio.run(main())


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (
            b'{"sender": "x", "incarnation": "a", "ready": 1, "position": 1}',
            403,
        ),
        (b'{"sender": "i0"}', 400),
        (b'[', 400),
        (b'{"sender": "i0", "incarnation": "a", "words": [1]}', 400),
        (b' ' * 20_000, 413),
    ],
)
def test_strangers_are_refused(body, status):
    """Malformed heartbeats, and those of unlisted senders, are refused.

    Otherwise any process that reaches the port could announce that all
    engines leave.
    """

    async def main():
        async with ClientSession() as session:
            runner, *_, endpoint = await start_instance('i0', session)
            url = f'http://{endpoint.address}/peer/v1/heartbeat'
            async with session.post(url, data=body) as answer:
                assert answer.status == status
            await runner.cleanup()

    asyncio.run(main())
