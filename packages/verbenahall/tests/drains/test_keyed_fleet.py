"""API keys that come, go and move, in a fleet with faults."""

import asyncio
import os
import random

import pytest

from .keyed_fleet import KeyedFleet
from .simulated_clock import run_simulated
from .test_drains import harm

#: Seeds that are played; more by hand, from another first one on.
FIRST = int(os.environ.get('KEY_SEED', '1'))
COUNT = int(os.environ.get('KEY_SEEDS', '12'))
SECONDS = 25


async def change_keys(fleet, draw):
    """Add, revoke and move keys, at times all of a workspace at once."""
    while True:
        await asyncio.sleep(draw.choice((0.1, 0.33, 1.5, 4)))
        key = draw.choice(sorted(fleet.holders))
        match draw.randrange(4):
            case 0:
                fleet.holders[f'key-{12 + fleet.source.randrange(60)}'] = 'w-9'
            case 1 if len(fleet.holders) > 4:
                fleet.holders.pop(key)
            case 2 if len(fleet.holders) > 8:
                gone = fleet.holders[key]
                fleet.holders = {
                    other: name
                    for other, name in fleet.holders.items()
                    if name != gone or other == key
                }
                fleet.holders.pop(key)
            case _:
                fleet.holders[key] = f'w-{draw.randrange(5)}'
        fleet.publish()


async def play(seed):
    """Play a seed; return the fleet."""
    draw = random.Random(seed)
    fleet = KeyedFleet(seed, draw.randint(4, 8))
    await fleet.open()
    await asyncio.sleep(3)
    troubles = [
        asyncio.create_task(change_keys(fleet, draw)),
        asyncio.create_task(harm(fleet, draw)),
    ]
    await fleet.ask_until(SECONDS)
    for trouble in troubles:
        trouble.cancel()
    await asyncio.gather(*troubles, return_exceptions=True)
    await fleet.close()
    return fleet


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_keys_decide_by_a_manifest_that_may_be_in_force(seed):
    """A key that nobody held runs, or one in force is refused."""
    fleet = run_simulated(play(seed))
    assert fleet.served > 200
    assert not fleet.strange
    assert not fleet.stale
    assert not fleet.denied
