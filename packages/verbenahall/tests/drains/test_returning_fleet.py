"""The store returns from older copies, under traffic and at many instances."""

import asyncio
import os
import random

import pytest

from verbenahall.platform import ENDPOINTS_TOPIC, OPERATOR_TOPIC

from .returning_fleet import ReturningFleet
from .simulated_clock import run_simulated
from .test_drains import DURATION_S, inject_faults, replace_endpoints

FIRST_SEED = int(os.environ.get('RETURN_SEED', '1'))
SEED_COUNT = int(os.environ.get('RETURN_SEEDS', '8'))
#: Time until the instances are at rest, and calls are counted after a return,
#: in seconds.
SETTLE_S = 8
COUNTED_S = 3


async def return_often(fleet, rng):
    """Let the store return from copies of some seconds, also twice in a row."""
    copies = [fleet.store.take_copy()]
    while True:
        for _ in range(rng.randint(1, 6)):
            await asyncio.sleep(rng.uniform(0.1, 1))
            copies = [*copies[-5:], fleet.store.take_copy()]
        away_s = rng.choice((0.05, 0.5, 1))
        await fleet.return_store(rng.choice(copies), away_s)
        copies = [fleet.store.take_copy()]
        await asyncio.sleep(rng.choice((0.1, 6)))


async def simulate(seed, has_faults):
    fleet = ReturningFleet(seed, 6)
    await fleet.open()
    rng = random.Random(f'{seed} returns')
    await asyncio.sleep(3)
    work = [replace_endpoints(fleet, rng), return_often(fleet, rng)]
    if has_faults:
        work.append(inject_faults(fleet, rng))
    tasks = [asyncio.create_task(one) for one in work]
    await fleet.send_until(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(6)
    await fleet.close()
    return fleet


@pytest.mark.parametrize('has_faults', [False, True])
@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_leaving_endpoint_gets_no_requests_over_returns(seed, has_faults):
    # A draining entry that was written after a return had an offset that the
    # instances had passed before, and was skipped as known.
    fleet = run_simulated(simulate(seed, has_faults))
    assert fleet.send_count
    assert not fleet.late_arrivals


async def count_return(size, away_s):
    fleet = ReturningFleet(size, size)
    await fleet.open()
    fleet.spread()
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    copy = fleet.store.take_copy()
    for number in range(4):
        fleet.store.put(OPERATOR_TOPIC, 'config', b'{"n":%d}' % number)
        fleet.add_endpoint()
        await asyncio.sleep(0.3)
    await asyncio.sleep(1)
    before = fleet.count_calls(loop.time() - 1, loop.time())
    await fleet.return_store(copy, away_s)
    at = loop.time() - 0.1
    await asyncio.sleep(COUNTED_S)
    after = [fleet.count_calls(at + n, at + n + 1) for n in range(COUNTED_S)]
    fleet.store.put(ENDPOINTS_TOPIC, 'late', b'{}')
    fleet.store.put(OPERATOR_TOPIC, 'config', b'{"n":9}')
    await asyncio.sleep(1.5)
    behind = fleet.list_behind()
    await fleet.close()
    return before, after, behind, fleet.relay_count


@pytest.mark.parametrize('away_s', [0.05, 1])
@pytest.mark.parametrize('size', [8, 195])
def test_calls_after_a_return_are_bounded(record_property, size, away_s):
    # All instances read all topics in the moment of the return.
    before, after, behind, relayed = run_simulated(count_return(size, away_s))
    record_property('calls before', dict(before))
    record_property('calls after', [dict(calls) for calls in after])
    record_property('topics from peers', relayed)
    assert not behind
    whole = sum(calls['newest'] for calls in after)
    centres = 1 if size == 8 else 3
    # Two topics, two instances of each group that exchanges heartbeats.
    assert whole <= 2 * 2 * centres
    assert sum(after[0].values()) <= 6 * size
