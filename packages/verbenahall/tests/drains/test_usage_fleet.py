"""Usage of each window is reported once, whatever is lost meanwhile."""

import asyncio
import os
import random

import pytest

from .simulated_clock import START, run_simulated
from .test_drains import cut_store, lose_datagrams, silence
from .usage_fleet import LATE_S, WINDOW_S, UsageFleet, skew_clock

#: Seeds that are played; more by hand, from another first one on.
FIRST = int(os.environ.get('USAGE_SEED', '1'))
COUNT = int(os.environ.get('USAGE_SEEDS', '12'))
SECONDS = 50
#: Share of a window's requests that a report may lack.
USAGE_OFF = 0.05


async def restart(fleet, draw):
    """Kill some instances, and start them again soon, also the holder."""
    names = sorted(fleet.instances)
    chosen = draw.sample(names, draw.randint(1, len(names) // 2))
    if fleet.accepted and draw.random() < 0.6:
        holder = fleet.accepted[-1].instance
        chosen = [holder] if holder in fleet.instances else chosen
    for name in chosen:
        await fleet.kill(name)
    await asyncio.sleep(draw.uniform(0.1, 4))
    for name in chosen:
        fleet.start(name, draw.choice((0, 0, 0, -20, 6)))


async def lose_calls(fleet, draw):
    """Have calls and appends lose their answers, or be carried out late."""
    fleet.lose_calls(draw.uniform(0, 0.5), draw.uniform(0, 0.4))
    await asyncio.sleep(draw.uniform(1, 6))
    fleet.lose_calls(0, 0)


async def stop_platform(fleet, draw):
    """Have the platform answer no call of a duty."""
    fleet.platform_down = True
    await asyncio.sleep(draw.uniform(1, 5))
    fleet.platform_down = False


async def harm(fleet, draw):
    """Harm one thing after the other, some of them at the same time."""
    faults = (
        restart,
        restart,
        lose_calls,
        lose_calls,
        cut_store,
        lose_datagrams,
        silence,
        stop_platform,
    )
    under_way = set()
    while True:
        await asyncio.sleep(draw.uniform(0.2, 2.5))
        task = asyncio.create_task(draw.choice(faults)(fleet, draw))
        under_way.add(task)
        if draw.random() < 0.7:
            await task


async def play(seed, trouble=None, skews=()):
    """Play a seed; return the fleet."""
    draw = random.Random(seed)
    fleet = UsageFleet(seed, draw.randint(5, 9))
    await fleet.open()
    for name, skew_s in zip(tuple(fleet.instances), skews):
        skew_clock(fleet.instances[name].core, skew_s)
    await asyncio.sleep(8)
    tasks = [asyncio.create_task(trouble(fleet, draw))] if trouble else []
    await fleet.count_until(SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(2 * LATE_S)
    await fleet.close()
    return fleet


def list_due(fleet):
    """Return the windows with traffic, and when their reports are due."""
    return {
        window: (window + 1) * WINDOW_S + LATE_S - START
        for window in fleet.truth
    }


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_no_window_has_two_reports(seed):
    """Holders die between a report and its answer, and others go on."""
    fleet = run_simulated(play(seed, harm))
    assert not fleet.broken
    assert len(fleet.find_reports()) >= 3


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT // 3))
def test_each_window_is_reported_exactly_and_in_time(seed):
    """Nothing is lost: every count must be there."""
    fleet = run_simulated(play(seed))
    reports = fleet.find_reports()
    for window, due in list_due(fleet).items():
        assert reports[window].counts == dict(fleet.truth[window])
        assert reports[window].at <= due


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT // 3))
def test_wrong_clocks_of_some_instances_move_no_count(seed):
    """A machine starts with a clock that is seconds off."""
    fleet = run_simulated(play(seed, skews=(7, -11)))
    reports = fleet.find_reports()
    for window in sorted(fleet.truth)[1:]:
        assert reports[window].counts == dict(fleet.truth[window])


async def kill_holder(fleet, draw):
    """Kill whoever reported last, a moment before or after a window's end."""
    await asyncio.sleep(draw.uniform(6, 16))
    holder = fleet.accepted[-1].instance
    await fleet.kill(holder)
    await asyncio.sleep(60)


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_successor_reports_every_window_in_time(seed):
    """The holder is killed for good; its successor waits out the lease."""
    fleet = run_simulated(play(seed, kill_holder))
    reports = fleet.find_reports()
    for window, due in list_due(fleet).items():
        assert reports[window].at <= due, sorted(reports)
        truth = sum(fleet.truth[window].values())
        told = sum(reports[window].counts.values())
        assert truth * (1 - USAGE_OFF) <= told <= truth
    assert not fleet.broken
