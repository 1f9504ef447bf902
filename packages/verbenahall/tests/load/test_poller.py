"""Which engines are polled for their state, and how often."""

import asyncio
import collections

from verbenahall import front
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.load import EngineStates, LoadState, StatePoller

UNREACHABLE = '127.0.0.1:1'
PERIOD_S = 0.5


def test_local_and_changing_engines_are_polled_before_remote_ones():
    """The number of polls per period is limited. Engines of another data
    centre must not delay the polls of local ones, but must be polled too.
    """
    names = ('near-1', 'near-2', 'near-3', 'far-1', 'far-2')
    endpoints = [
        Endpoint(name, EndpointKind.ENGINE, UNREACHABLE, '', '1')
        for name in names
    ]
    times = iter(range(100000))
    polls = collections.Counter()

    async def run():
        async with front.make_session() as session:
            poller = StatePoller(
                session,
                lambda: endpoints,
                EngineStates(),
                LoadState(),
                PERIOD_S,
                on_success=polls.update,
                on_failure=lambda name: polls.update([name]),
                on_state=polls.update,
                is_urgent=lambda name: name == 'near-1',
                is_remote=lambda name: name.startswith('far'),
                clock=lambda: next(times) * PERIOD_S,
            )
            for _ in range(80):
                await poller.poll()

    asyncio.run(run())
    assert polls['near-1'] == 80
    assert polls['far-1'] > 2
    assert polls['far-2'] > 2
    assert polls['near-2'] > 3 * polls['far-1']
    assert polls['near-3'] > 3 * polls['far-1']
