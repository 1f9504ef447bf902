"""Instances heed what endpoints state, whatever the store lists."""

import asyncio
import os

import pytest

from .announcing_fleet import MAX_ARRIVALS, AnnouncingFleet, simulate
from .simulated_clock import run_simulated

#: Seeds that are simulated; the environment can select other seeds.
FIRST_SEED = int(os.environ.get('NOTICE_SEED', '1'))
SEED_COUNT = int(os.environ.get('NOTICE_SEEDS', '8'))


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_answers_of_endpoints_are_heeded(seed):
    """Entries say ready, lapse and return while endpoints state otherwise."""
    fleet = run_simulated(simulate(seed))
    assert fleet.told_at and fleet.refused
    assert not fleet.find_late()
    assert fleet.count_most_in_backoff() <= MAX_ARRIVALS
    assert set(fleet.statuses) <= {200, 429, 503}
    assert fleet.statuses.count(200) > 0.9 * len(fleet.statuses)


async def back_off_together(fleet):
    """Have all endpoints refuse for two seconds, then accept again."""
    await fleet.open()
    await asyncio.sleep(3)
    for name in fleet.live_endpoints:
        fleet.backoffs[name] = 2
    await fleet.send_until(5)
    fleet.backoffs.clear()
    await fleet.send_until(12)
    await fleet.close()


def test_service_recovers_when_all_endpoints_have_backed_off():
    """The limit on the first requests must not hold up the others for long."""
    fleet = AnnouncingFleet(1, 5)
    run_simulated(back_off_together(fleet))
    assert fleet.count_most_in_backoff() <= MAX_ARRIVALS
    assert set(fleet.statuses) == {200, 429}
    late = fleet.statuses[-300:]
    assert late.count(200) == len(late)
