"""No endpoint gets a request long after it has left, whatever is lost."""

import asyncio
import os
import random

import pytest

from verbenahall.roster import had_store_outage

from .fleet import Fleet
from .simulated_clock import run_simulated

#: Seeds that are played; more by hand, from another first one on.
FIRST = int(os.environ.get('DRAIN_SEED', '1'))
COUNT = int(os.environ.get('DRAIN_SEEDS', '12'))
SECONDS = 20


async def replace_endpoints(fleet, draw):
    """Have endpoints join and leave, some without a word."""
    while True:
        await asyncio.sleep(draw.choice((0.05, 0.4, 1, 2.5)))
        name = draw.choice(fleet.live)
        fleet.join()
        if draw.random() < 0.3:
            fleet.remove(name)
        else:
            fleet.announce(name)
            delay_s = draw.uniform(0.5, 3)
            asyncio.get_running_loop().call_later(delay_s, fleet.remove, name)


async def harm(fleet, draw):
    """Harm one thing after the other."""
    faults = (cut_store, cut_store, lose_datagrams, silence, kill)
    while True:
        await asyncio.sleep(draw.uniform(0.2, 3))
        await draw.choice(faults)(fleet, draw)


def pick(fleet, draw):
    """Pick instances: those that follow the store, or any."""
    followers = fleet.find_followers()
    if followers and draw.random() < 0.6:
        return followers
    names = sorted(fleet.instances)
    return draw.sample(names, draw.randint(1, max(1, len(names) // 2)))


async def cut_store(fleet, draw):
    """Have the store refuse some instances, or leave them unanswered."""
    names = pick(fleet, draw)
    harmed = draw.choice((fleet.store.mute, fleet.store.refusing))
    harmed.update(names)
    lasts_s = draw.uniform(1, 5)
    fleet.harm(names, asyncio.get_running_loop().time() + lasts_s)
    await asyncio.sleep(lasts_s)
    harmed.difference_update(names)


async def lose_datagrams(fleet, draw):
    """Have the network lose datagrams, or deliver them late."""
    fleet.loss = draw.uniform(0.05, 0.6)
    fleet.delay_s = draw.uniform(0, 0.3)
    await asyncio.sleep(draw.uniform(1, 4))
    fleet.loss = 0
    fleet.delay_s = 0


async def silence(fleet, draw):
    """Cut some instances off from the others, but not from the store."""
    fleet.silenced.update(pick(fleet, draw))
    await asyncio.sleep(draw.uniform(1, 4))
    fleet.silenced.clear()


async def kill(fleet, draw):
    """End instances, but for the last two."""
    for name in pick(fleet, draw):
        if len(fleet.instances) > 2:
            await fleet.instances.pop(name).stop()


async def stop_store(fleet, draw):
    """Have the store answer nobody, and entries lapse meanwhile."""
    names = list(fleet.instances)
    harmed = draw.choice((fleet.store.mute, fleet.store.refusing))
    harmed.update(names)
    lasts_s = draw.uniform(2, 6)
    fleet.harm(names, asyncio.get_running_loop().time() + lasts_s)
    await asyncio.sleep(lasts_s / 2)
    fleet.lapse()
    await asyncio.sleep(lasts_s / 2)
    harmed.clear()
    await asyncio.sleep(draw.uniform(0, 1.2))
    fleet.relist()


async def play_outages(seed):
    """Play outages of the store and nothing else; return the fleet."""
    draw = random.Random(seed)
    fleet = Fleet(seed, 5, leaving_s=draw.choice((2, 3, 4)))
    await fleet.open()
    await asyncio.sleep(3)
    sending = asyncio.create_task(fleet.send_until(SECONDS))
    while not sending.done():
        await stop_store(fleet, draw)
        await asyncio.sleep(draw.uniform(2, 4))
    await fleet.close()
    return fleet


async def play(seed):
    """Play a seed; return the fleet."""
    draw = random.Random(seed)
    size = draw.randint(4, 8)
    fleet = Fleet(seed, size, leaving_s=draw.choice((2, 3, 4)))
    await fleet.open()
    await asyncio.sleep(3)
    troubles = [
        asyncio.create_task(replace_endpoints(fleet, draw)),
        asyncio.create_task(harm(fleet, draw)),
    ]
    await fleet.send_until(SECONDS)
    for trouble in troubles:
        trouble.cancel()
    await asyncio.gather(*troubles, return_exceptions=True)
    await fleet.close()
    return fleet


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_endpoint_that_left_gets_no_request_after_the_bound(seed):
    """Delays on the way of an endpoint's leaving add up to over the bound."""
    fleet = run_simulated(play(seed))
    assert fleet.sends > 500
    assert not fleet.late


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT // 3))
def test_service_goes_on_when_entries_lapse_with_the_store(seed):
    """Believed, the removals would leave a service without endpoints."""
    fleet = run_simulated(play_outages(seed))
    assert fleet.sends > 500
    assert not fleet.refused


async def refuse_one_follower(fleet):
    """Refuse a follower for a second; endpoints change for eight more."""
    await fleet.open()
    await asyncio.sleep(3)
    refused = fleet.find_followers()[0]
    fleet.store.refusing.add(refused)
    await asyncio.sleep(1)
    fleet.store.refusing.clear()
    for _ in range(8):
        await asyncio.sleep(1)
        fleet.join()
    await fleet.close()


def test_followers_do_not_keep_each_other_cut_off():
    """A refusal that is long over makes each removal look like a lapse."""
    fleet = Fleet(1, 4, leaving_s=3)
    run_simulated(refuse_one_follower(fleet))
    rosters = [one.core.roster for one in fleet.instances.values()]
    assert not any(had_store_outage(roster, 12) for roster in rosters)


async def silence_followers(fleet):
    """Leave the followers unanswered just before endpoints leave."""
    await fleet.open()
    await asyncio.sleep(4)
    followers = fleet.find_followers()
    fleet.harm(followers, SECONDS)
    # Every second heartbeat is lost, too.
    fleet.loss = 0.5
    fleet.join()
    await asyncio.sleep(0.02)
    fleet.store.mute.update(followers)
    for name in tuple(fleet.live[:4]):
        fleet.announce(name)
    await fleet.send_until(9)
    await fleet.close()


@pytest.mark.parametrize('seed', range(1, 9))
def test_followers_that_lost_the_store_do_not_delay_the_others(seed):
    """Those that rely on them take silence for no change."""
    fleet = Fleet(seed, 7, leaving_s=2)
    run_simulated(silence_followers(fleet))
    assert not fleet.late


async def stall(fleet):
    """Have all processes stand still for seconds while endpoints leave."""
    await fleet.open()
    await asyncio.sleep(4)
    fleet.store.way_s = 0.05
    for name in tuple(fleet.live[:4]):
        fleet.announce(name)
    asyncio.get_running_loop().clock.now += 4
    await fleet.send_until(9)
    await fleet.close()


def test_process_that_stood_still_asks_the_store_before_it_sends():
    """Its clock has gone on, and its list of endpoints has not."""
    fleet = Fleet(1, 4, leaving_s=2)
    run_simulated(stall(fleet))
    assert fleet.sends > 50
    assert not fleet.late
    assert not fleet.refused
