"""All instances together keep the rates that endpoints advertise."""

import asyncio
import os

import pytest

from .rated_fleet import RatedFleet, disturb_network, inject_nothing, simulate
from .simulated_clock import run_simulated

#: Seeds that are simulated; the environment can select other seeds.
FIRST_SEED = int(os.environ.get('RATE_SEED', '1'))
SEED_COUNT = int(os.environ.get('RATE_SEEDS', '8'))


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_advertised_rate_holds_across_partitions(seed):
    """Two permit holders at once would allow twice the rate."""
    fleet = run_simulated(simulate(seed, disturb_network))
    assert not any(fleet.find_excess(name) for name in fleet.rates)
    assert fleet.statuses.count(200) > 0.98 * len(fleet.statuses)


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_advertised_rate_is_used(seed):
    """With too few permits a limited endpoint would be idle."""
    fleet = run_simulated(simulate(seed, inject_nothing))
    assert set(fleet.statuses) == {200}
    for name, rate in fleet.rates.items():
        later_arrivals = [at for at, _ in fleet.arrivals[name] if at > 10]
        assert 0.4 * rate * 23 - 1 <= len(later_arrivals) <= rate * 23 + 2
        assert not fleet.find_excess(name)


async def limit_all(fleet):
    """Have all endpoints advertise a rate that is too low for the load."""
    await fleet.open()
    await asyncio.sleep(3)
    for name in fleet.live_endpoints:
        fleet.set_rate(name, 2)
    await fleet.send_requests_until(15)
    await fleet.close()


def test_requests_over_all_rates_are_rejected_with_429():
    """Rejected requests must neither wait nor be reported as run.

    The caller could not retry them after their deadline or if they had run.
    """
    fleet = RatedFleet(1, 5)
    run_simulated(limit_all(fleet))
    assert not any(fleet.find_excess(name) for name in fleet.rates)
    assert set(fleet.statuses) == {200, 429}
