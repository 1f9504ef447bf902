"""Which engines are asked for their state, and how often."""

import asyncio
import collections

from verbenahall import front
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.load import EngineStates, LoadState, StatePoller

NOBODY = '127.0.0.1:1'
PERIOD_S = 0.5


def test_near_and_changing_engines_are_asked_before_far_ones():
    """An instance watches its own engines and some of another data centre
    with few bytes to spend. Far ones must not make it learn late what its
    own hold, and none may be forgotten.
    """
    names = ('near-1', 'near-2', 'near-3', 'far-1', 'far-2')
    endpoints = [
        Endpoint(name, EndpointKind.ENGINE, NOBODY, '', '1') for name in names
    ]
    times = iter(range(100000))
    asked = collections.Counter()

    async def run():
        async with front.make_session() as session:
            poller = StatePoller(
                session,
                lambda: endpoints,
                EngineStates(),
                LoadState(),
                PERIOD_S,
                heard=asked.update,
                missed=lambda name: asked.update([name]),
                told=asked.update,
                urgent=lambda name: name == 'near-1',
                far=lambda name: name.startswith('far'),
                clock=lambda: next(times) * PERIOD_S,
            )
            for _ in range(80):
                await poller.poll()

    asyncio.run(run())
    assert asked['near-1'] == 80
    assert asked['far-1'] > 2
    assert asked['far-2'] > 2
    assert asked['near-2'] > 3 * asked['far-1']
    assert asked['near-3'] > 3 * asked['far-1']
