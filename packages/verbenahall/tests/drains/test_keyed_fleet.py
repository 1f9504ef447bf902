"""API keys that are added, revoked and reassigned, in a faulty fleet."""

import asyncio
import os
import random

import pytest

from .keyed_fleet import KeyedFleet
from .simulated_clock import run_simulated
from .test_drains import inject_faults

#: Seeds that are simulated; the environment can select other seeds.
FIRST_SEED = int(os.environ.get('KEY_SEED', '1'))
SEED_COUNT = int(os.environ.get('KEY_SEEDS', '12'))
DURATION_S = 25


async def change_keys(fleet, rng):
    """Add, revoke and reassign keys, or revoke all keys of a workspace."""
    while True:
        await asyncio.sleep(rng.choice((0.1, 0.33, 1.5, 4)))
        key = rng.choice(sorted(fleet.key_workspaces))
        match rng.randrange(4):
            case 0:
                fleet.key_workspaces[
                    f'key-{12 + fleet.traffic_rng.randrange(60)}'
                ] = 'w-9'
            case 1 if len(fleet.key_workspaces) > 4:
                fleet.key_workspaces.pop(key)
            case 2 if len(fleet.key_workspaces) > 8:
                removed = fleet.key_workspaces[key]
                fleet.key_workspaces = {
                    other: name
                    for other, name in fleet.key_workspaces.items()
                    if name != removed or other == key
                }
                fleet.key_workspaces.pop(key)
            case _:
                fleet.key_workspaces[key] = f'w-{rng.randrange(5)}'
        fleet.publish_manifest()


async def simulate(seed):
    """Simulate a seed; return the fleet."""
    rng = random.Random(seed)
    fleet = KeyedFleet(seed, rng.randint(4, 8))
    await fleet.open()
    await asyncio.sleep(3)
    fault_tasks = [
        asyncio.create_task(change_keys(fleet, rng)),
        asyncio.create_task(inject_faults(fleet, rng)),
    ]
    await fleet.send_requests_until(DURATION_S)
    for fault_task in fault_tasks:
        fault_task.cancel()
    await asyncio.gather(*fault_tasks, return_exceptions=True)
    await fleet.close()
    return fleet


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_keys_are_checked_against_a_recent_manifest(seed):
    """Revoked keys must be refused and valid ones accepted within 2 s."""
    fleet = run_simulated(simulate(seed))
    assert fleet.served_count > 200
    assert not fleet.never_held
    assert not fleet.wrong_workspaces
    assert not fleet.wrong_refusals
