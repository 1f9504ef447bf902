"""Rates that endpoints name are kept by all instances together."""

import asyncio
import os

import pytest

from .rated_fleet import RatedFleet, cut_parts, play, rest
from .simulated_clock import run_simulated

#: Seeds that are played; more by hand, from another first one on.
FIRST = int(os.environ.get('RATE_SEED', '1'))
COUNT = int(os.environ.get('RATE_SEEDS', '8'))


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_named_rate_is_kept_though_instances_are_cut_off(seed):
    """Two that both give permits send twice as much as one."""
    fleet = run_simulated(play(seed, cut_parts))
    assert not any(fleet.find_excess(name) for name in fleet.rates)
    assert fleet.statuses.count(200) > 0.98 * len(fleet.statuses)


@pytest.mark.parametrize('seed', range(FIRST, FIRST + COUNT))
def test_named_rate_is_used(seed):
    """An endpoint that takes some requests is sent none."""
    fleet = run_simulated(play(seed, rest))
    assert set(fleet.statuses) == {200}
    for name, rate in fleet.rates.items():
        late = [at for at, _ in fleet.arrivals[name] if at > 10]
        assert 0.4 * rate * 23 - 1 <= len(late) <= rate * 23 + 2
        assert not fleet.find_excess(name)


async def limit_all(fleet):
    """Have all endpoints name a rate that is too low for all requests."""
    await fleet.open()
    await asyncio.sleep(3)
    for name in fleet.live:
        fleet.name_rate(name, 2)
    await fleet.ask_until(15)
    await fleet.close()


def test_requests_that_no_endpoint_takes_are_refused_truly():
    """Held to their deadline, or said to have run, they cannot come back."""
    fleet = RatedFleet(1, 5)
    run_simulated(limit_all(fleet))
    assert not any(fleet.find_excess(name) for name in fleet.rates)
    assert set(fleet.statuses) == {200, 429}
