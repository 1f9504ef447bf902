"""Usage of each window is reported once, also under faults."""

import asyncio
import os
import random

import pytest

from .simulated_clock import START_TIME_S, run_simulated
from .test_drains import disrupt_store, isolate_instances, lose_datagrams
from .usage_fleet import REPORT_DELAY_S, WINDOW_S, UsageFleet, skew_clock

#: Seeds that are simulated; the environment can select other seeds.
FIRST_SEED = int(os.environ.get('USAGE_SEED', '1'))
SEED_COUNT = int(os.environ.get('USAGE_SEEDS', '12'))
DURATION_S = 50
#: Share of a window's requests that a report may lack.
MAX_MISSING_SHARE = 0.05


async def restart(fleet, rng):
    """Kill some instances or the lease holder, and restart them soon."""
    names = sorted(fleet.instances)
    chosen = rng.sample(names, rng.randint(1, len(names) // 2))
    if fleet.accepted_reports and rng.random() < 0.6:
        holder = fleet.accepted_reports[-1].instance
        chosen = [holder] if holder in fleet.instances else chosen
    for name in chosen:
        await fleet.kill(name)
    await asyncio.sleep(rng.uniform(0.1, 4))
    for name in chosen:
        fleet.start(name, rng.choice((0, 0, 0, -20, 6)))


async def lose_calls(fleet, rng):
    """Have calls and appends lose their answers or be applied late."""
    fleet.set_loss_shares(rng.uniform(0, 0.5), rng.uniform(0, 0.4))
    await asyncio.sleep(rng.uniform(1, 6))
    fleet.set_loss_shares(0, 0)


async def stop_platform(fleet, rng):
    """Have the platform leave duty calls unanswered."""
    fleet.platform_down = True
    await asyncio.sleep(rng.uniform(1, 5))
    fleet.platform_down = False


async def inject_faults(fleet, rng):
    """Inject random faults, some of them at the same time."""
    faults = (
        restart,
        restart,
        lose_calls,
        lose_calls,
        disrupt_store,
        lose_datagrams,
        isolate_instances,
        stop_platform,
    )
    running = set()
    while True:
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        task = asyncio.create_task(rng.choice(faults)(fleet, rng))
        running.add(task)
        if rng.random() < 0.7:
            await task


async def simulate(seed, inject=None, skews=()):
    """Simulate a seed; return the fleet."""
    rng = random.Random(seed)
    fleet = UsageFleet(seed, rng.randint(5, 9))
    await fleet.open()
    for name, skew_s in zip(tuple(fleet.instances), skews):
        skew_clock(fleet.instances[name].core, skew_s)
    await asyncio.sleep(8)
    tasks = [asyncio.create_task(inject(fleet, rng))] if inject else []
    await fleet.count_until(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(2 * REPORT_DELAY_S)
    await fleet.close()
    return fleet


def list_due_times(fleet):
    """Return the latest report time of each window with traffic."""
    return {
        window: (window + 1) * WINDOW_S + REPORT_DELAY_S - START_TIME_S
        for window in fleet.true_counts
    }


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_no_window_has_two_reports(seed):
    """A lease holder may be killed between its report and the answer."""
    fleet = run_simulated(simulate(seed, inject_faults))
    assert not fleet.violations
    assert len(fleet.find_reports()) >= 3


@pytest.mark.parametrize(
    'seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT // 3)
)
def test_each_window_is_reported_exactly_and_in_time(seed):
    """Without faults every request must be counted."""
    fleet = run_simulated(simulate(seed))
    reports = fleet.find_reports()
    for window, due in list_due_times(fleet).items():
        assert reports[window].counts == dict(fleet.true_counts[window])
        assert reports[window].at <= due


@pytest.mark.parametrize(
    'seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT // 3)
)
def test_wrong_wall_clocks_do_not_shift_counts(seed):
    """A machine may start with a clock that is off by seconds."""
    fleet = run_simulated(simulate(seed, skews=(7, -11)))
    reports = fleet.find_reports()
    for window in sorted(fleet.true_counts)[1:]:
        assert reports[window].counts == dict(fleet.true_counts[window])


async def kill_holder(fleet, rng):
    """Kill the instance that sent the last report, at a random time."""
    await asyncio.sleep(rng.uniform(6, 16))
    holder = fleet.accepted_reports[-1].instance
    await fleet.kill(holder)
    await asyncio.sleep(60)


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_successor_reports_every_window_in_time(seed):
    """The killed holder's successor has to wait until the lease expires."""
    fleet = run_simulated(simulate(seed, kill_holder))
    reports = fleet.find_reports()
    for window, due in list_due_times(fleet).items():
        assert reports[window].at <= due, sorted(reports)
        began = sum(fleet.true_counts[window].values())
        reported = sum(reports[window].counts.values())
        assert began * (1 - MAX_MISSING_SHARE) <= reported <= began
    assert not fleet.violations
