"""Endpoints that left get no more requests, also when messages are lost."""

import asyncio
import os
import random

import pytest

from verbenahall.roster import had_store_outage

from .fleet import Fleet
from .simulated_clock import run_simulated

#: Seeds that are simulated; the environment can select other seeds.
FIRST_SEED = int(os.environ.get('DRAIN_SEED', '1'))
SEED_COUNT = int(os.environ.get('DRAIN_SEEDS', '12'))
DURATION_S = 20


async def replace_endpoints(fleet, rng):
    """Have endpoints join and leave, some without announcing it."""
    while True:
        await asyncio.sleep(rng.choice((0.05, 0.4, 1, 2.5)))
        name = rng.choice(fleet.live_endpoints)
        fleet.add_endpoint()
        if rng.random() < 0.3:
            fleet.remove(name)
        else:
            fleet.announce_leaving(name)
            delay_s = rng.uniform(0.5, 3)
            asyncio.get_running_loop().call_later(delay_s, fleet.remove, name)


async def inject_faults(fleet, rng):
    """Inject one random fault after the other."""
    faults = (
        disrupt_store,
        disrupt_store,
        lose_datagrams,
        isolate_instances,
        kill_instances,
    )
    while True:
        await asyncio.sleep(rng.uniform(0.2, 3))
        await rng.choice(faults)(fleet, rng)


def pick_instances(fleet, rng):
    """Return the instances that follow the store, or random ones."""
    followers = fleet.list_followers()
    if followers and rng.random() < 0.6:
        return followers
    names = sorted(fleet.instances)
    return rng.sample(names, rng.randint(1, max(1, len(names) // 2)))


async def disrupt_store(fleet, rng):
    """Have the store refuse or ignore the calls of some instances."""
    names = pick_instances(fleet, rng)
    affected = rng.choice(
        (fleet.store.ignored_instances, fleet.store.refused_instances)
    )
    affected.update(names)
    duration_s = rng.uniform(1, 5)
    fleet.mark_store_fault(
        names, asyncio.get_running_loop().time() + duration_s
    )
    await asyncio.sleep(duration_s)
    affected.difference_update(names)


async def lose_datagrams(fleet, rng):
    """Have the network lose and delay datagrams."""
    fleet.loss_share = rng.uniform(0.05, 0.6)
    fleet.delay_s = rng.uniform(0, 0.3)
    await asyncio.sleep(rng.uniform(1, 4))
    fleet.loss_share = 0
    fleet.delay_s = 0


async def isolate_instances(fleet, rng):
    """Isolate some instances from their peers, but not from the store."""
    fleet.isolated.update(pick_instances(fleet, rng))
    await asyncio.sleep(rng.uniform(1, 4))
    fleet.isolated.clear()


async def kill_instances(fleet, rng):
    """Stop instances, but keep at least two."""
    for name in pick_instances(fleet, rng):
        if len(fleet.instances) > 2:
            await fleet.instances.pop(name).stop()


async def stop_store(fleet, rng):
    """Stop the store for all instances while all entries expire."""
    names = list(fleet.instances)
    affected = rng.choice(
        (fleet.store.ignored_instances, fleet.store.refused_instances)
    )
    affected.update(names)
    duration_s = rng.uniform(2, 6)
    fleet.mark_store_fault(
        names, asyncio.get_running_loop().time() + duration_s
    )
    await asyncio.sleep(duration_s / 2)
    fleet.expire_entries()
    await asyncio.sleep(duration_s / 2)
    affected.clear()
    await asyncio.sleep(rng.uniform(0, 1.2))
    fleet.relist_endpoints()


async def simulate_store_outages(seed):
    """Simulate a seed with store outages only; return the fleet."""
    rng = random.Random(seed)
    fleet = Fleet(seed, 5, leaving_s=rng.choice((2, 3, 4)))
    await fleet.open()
    await asyncio.sleep(3)
    sending = asyncio.create_task(fleet.send_until(DURATION_S))
    while not sending.done():
        await stop_store(fleet, rng)
        await asyncio.sleep(rng.uniform(2, 4))
    await fleet.close()
    return fleet


async def simulate(seed):
    """Simulate a seed with all faults; return the fleet."""
    rng = random.Random(seed)
    size = rng.randint(4, 8)
    fleet = Fleet(seed, size, leaving_s=rng.choice((2, 3, 4)))
    await fleet.open()
    await asyncio.sleep(3)
    fault_tasks = [
        asyncio.create_task(replace_endpoints(fleet, rng)),
        asyncio.create_task(inject_faults(fleet, rng)),
    ]
    await fleet.send_until(DURATION_S)
    for fault_task in fault_tasks:
        fault_task.cancel()
    await asyncio.gather(*fault_tasks, return_exceptions=True)
    await fleet.close()
    return fleet


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_endpoint_that_left_gets_no_request_after_the_bound(seed):
    """Propagation delays must not add up to more than the bound."""
    fleet = run_simulated(simulate(seed))
    assert fleet.send_count > 500
    assert not fleet.late_arrivals


@pytest.mark.parametrize(
    'seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT // 3)
)
def test_service_goes_on_when_entries_lapse_with_the_store(seed):
    """Applying the removals during an outage would leave no endpoints."""
    fleet = run_simulated(simulate_store_outages(seed))
    assert fleet.send_count > 500
    assert not fleet.refused_count


async def refuse_one_follower(fleet):
    """Refuse a follower for one second, then add endpoints for eight."""
    await fleet.open()
    await asyncio.sleep(3)
    refused = fleet.list_followers()[0]
    fleet.store.refused_instances.add(refused)
    await asyncio.sleep(1)
    fleet.store.refused_instances.clear()
    for _ in range(8):
        await asyncio.sleep(1)
        fleet.add_endpoint()
    await fleet.close()


def test_store_outage_of_a_follower_ends_for_its_peers():
    """An outage of one follower must not stay recorded in its peers.

    While an outage is recorded, an instance treats a removed entry as expired
    and goes on sending to the endpoint.
    """
    fleet = Fleet(1, 4, leaving_s=3)
    run_simulated(refuse_one_follower(fleet))
    rosters = [instance.core.roster for instance in fleet.instances.values()]
    assert not any(had_store_outage(roster, 12) for roster in rosters)


async def ignore_followers(fleet):
    """Ignore the followers' calls just before endpoints leave."""
    await fleet.open()
    await asyncio.sleep(4)
    followers = fleet.list_followers()
    fleet.mark_store_fault(followers, DURATION_S)
    # Half of the heartbeats are lost as well.
    fleet.loss_share = 0.5
    fleet.add_endpoint()
    await asyncio.sleep(0.02)
    fleet.store.ignored_instances.update(followers)
    for name in tuple(fleet.live_endpoints[:4]):
        fleet.announce_leaving(name)
    await fleet.send_until(9)
    await fleet.close()


@pytest.mark.parametrize('seed', range(1, 9))
def test_followers_that_lost_the_store_do_not_delay_the_others(seed):
    """Missing updates from a follower must not count as an unchanged list."""
    fleet = Fleet(seed, 7, leaving_s=2)
    run_simulated(ignore_followers(fleet))
    assert not fleet.late_arrivals


async def suspend_processes(fleet):
    """Suspend all processes for 4 s just after endpoints announce leaving."""
    await fleet.open()
    await asyncio.sleep(4)
    fleet.store.one_way_s = 0.05
    for name in tuple(fleet.live_endpoints[:4]):
        fleet.announce_leaving(name)
    asyncio.get_running_loop().clock.now += 4
    await fleet.send_until(9)
    await fleet.close()


def test_process_that_stood_still_asks_the_store_before_it_sends():
    """After a pause the endpoint list is stale and must be refreshed."""
    fleet = Fleet(1, 4, leaving_s=2)
    run_simulated(suspend_processes(fleet))
    assert fleet.send_count > 50
    assert not fleet.late_arrivals
    assert not fleet.refused_count
