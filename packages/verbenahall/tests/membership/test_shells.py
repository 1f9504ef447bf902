"""The list poller and the prober against HTTP servers."""

import asyncio
import random
from types import MappingProxyType

import pytest
from aiohttp import ClientSession, web

from verbenahall import wire
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus
from verbenahall.membership import (
    ListEntry,
    ListPoller,
    MembershipState,
    Prober,
    apply_list,
    get_status,
    list_endpoints,
    observe_failure,
    observe_leaving,
)

ROW = MappingProxyType(
    {
        'name': 'e',
        'kind': 'engine',
        'address': '127.0.0.1:1',
        'data_centre': 'ain',
        'incarnation': 'a',
        'state': 'live',
    }
)
STATE = MappingProxyType(
    {'name': 'e', 'incarnation': 'a', 'leaving': False},
)


def run_against(handler, check):
    async def main():
        async def handle(request):
            return await handler(request)

        server = web.Server(handle)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0]
        async with ClientSession() as session:
            await check(f'{host}:{port}', session)
        await runner.cleanup()

    asyncio.run(main())


@pytest.mark.parametrize(
    'bad',
    [
        web.Response(status=503),
        web.Response(body=b'{"version": 9, "entries": ['),
        web.Response(body=wire.encode({'version': 9, 'entries': [{}]})),
        web.Response(body=wire.encode({'version': 9, 'entries': 7})),
        web.Response(body=wire.encode({'version': 'x', 'entries': []})),
        web.Response(body=wire.encode({'version': 0, 'entries': []})),
    ],
)
def test_bad_lists_change_nothing(bad):
    """The list is down or malformed, or an older replica of it answers.

    The last known endpoints must stay.
    """
    good = wire.encode({'version': 3, 'entries': [dict(ROW)]})
    answers = iter((web.Response(body=good), bad))

    async def handler(request):
        return next(answers)

    async def check(address, session):
        state = MembershipState()
        poller = ListPoller(address, session, state, 1)
        await poller.poll()
        await poller.poll()
        assert [one.name for one in list_endpoints(state)] == ['e']
        assert get_status(state, 'e', 0) is EndpointStatus.LIVE

    run_against(handler, check)


@pytest.mark.parametrize(
    ('kind', 'answer', 'after'),
    [
        (EndpointKind.ENGINE, STATE, EndpointStatus.LIVE),
        (
            EndpointKind.ENGINE,
            {**STATE, 'name': 'other'},
            EndpointStatus.SILENT,
        ),
        (
            EndpointKind.ENGINE,
            {**STATE, 'leaving': True},
            EndpointStatus.LEAVING,
        ),
        (
            EndpointKind.ENGINE,
            {**STATE, 'incarnation': 'b'},
            EndpointStatus.LIVE,
        ),
        (EndpointKind.SERVICE, {}, EndpointStatus.LIVE),
    ],
)
def test_probe_of_a_silent_endpoint(kind, answer, after):
    """An unresponsive endpoint's address answers again.

    A probe must not count as a run of the service, and the answer of another
    process at this address must be ignored.
    """
    requested = []

    async def handler(request):
        requested.append((request.method, request.path))
        return web.Response(body=wire.encode(dict(answer)))

    async def check(address, session):
        state = MembershipState()
        endpoint = Endpoint('e', kind, address, 'ain', 'a')
        apply_list(state, [ListEntry(endpoint)], 0)
        for _ in range(3):
            observe_failure(state, 'e', 1)
        await Prober(session, state, random.Random(1)).probe(endpoint)
        assert get_status(state, 'e', 2) is after

    run_against(handler, check)
    wanted = (
        ('GET', '/state') if kind is EndpointKind.ENGINE else ('OPTIONS', '*')
    )
    assert requested == [wanted]


def test_word_is_taken_back():
    """An engine announces that it leaves, and its operator cancels that.

    The engine gets no requests any more, so only a probe finds out.
    """

    async def handler(request):
        return web.Response(body=wire.encode(dict(STATE)))

    async def check(address, session):
        state = MembershipState()
        entry = ListEntry(
            Endpoint('e', EndpointKind.ENGINE, address, 'ain', 'a'),
        )
        apply_list(state, [entry], 0)
        observe_leaving(state, 'e', 0)
        running = asyncio.create_task(
            Prober(session, state, random.Random(1)).run(),
        )
        async with asyncio.timeout(20):
            while get_status(state, 'e', 1) is not EndpointStatus.LIVE:
                await asyncio.sleep(0.02)
        running.cancel()

    run_against(handler, check)


def test_unchanged_list_is_not_sent_again():
    """The list has twelve thousand endpoints, few of which change.

    Read completely at each poll, the list alone would take many times the
    bytes that an instance may use for control traffic. The ETag of a list
    that can't be decoded must not be used in later polls.
    """
    good = wire.encode({'version': 3, 'entries': [dict(ROW)]})
    bodies = {'"3"': good, '"4"': b'{"version": 4, "entr'}
    current = ['"3"', '"4"', '"3"', '"3"']
    sent = []

    async def handler(request):
        tag = current[len(sent)]
        known = request.headers.get('If-None-Match', '')
        sent.append(known)
        if known == tag:
            return web.Response(status=304)
        return web.Response(body=bodies[tag], headers={'ETag': tag})

    async def check(address, session):
        state = MembershipState()
        poller = ListPoller(address, session, state, 1)
        await poller.poll()
        await poller.poll()
        await poller.poll()
        await poller.poll()
        assert [one.name for one in list_endpoints(state)] == ['e']
        assert poller.failed_polls == 0

    run_against(handler, check)

    assert sent == ['', '"3"', '"3"', '"3"']
