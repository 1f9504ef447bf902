"""Endpoints that one instance does not reach are left out by all."""

import asyncio

import pytest

from .alerting_fleet import AlertingFleet
from .simulated_clock import run_simulated

#: All instances leave an endpoint out this long after the first failed send.
BOUND_S = 0.2


def crash_quarter(fleet):
    """Crash a quarter of a data centre's endpoints at second 1."""
    crashed = [one for one in fleet.entries if one.data_centre == 'a'][::4]
    loop = asyncio.get_running_loop()
    loop.call_later(1, fleet.down.update, crashed)
    return crashed


async def simulate_crash(**options):
    fleet = AlertingFleet(**options)
    crashed = crash_quarter(fleet)
    await fleet.run_until(2.5)
    return fleet, crashed


def find_late(fleet, crashed):
    """Return the sends to crashed endpoints after the bound."""
    first_at = {
        entry.name: min(
            at for at, _, name in fleet.wasted if name == entry.name
        )
        for entry in crashed
    }
    return [
        (at, instance, name)
        for at, instance, name in fleet.wasted
        if at > first_at[name] + BOUND_S
    ]


def test_crashed_quarter_of_a_data_centre_wastes_few_sends():
    # Each instance found out for itself: one send lost by each instance at each
    # crashed endpoint.
    fleet, crashed = run_simulated(simulate_crash())
    alone, _ = run_simulated(simulate_crash(has_alerts=False))
    assert not find_late(fleet, crashed)
    assert find_late(alone, crashed)
    assert len(alone.wasted) >= 3 * len(fleet.wasted)
    # Two copies for each instance and data centre that has reported.
    assert fleet.datagrams < len(crashed) * len(fleet.names) * 8


@pytest.mark.parametrize('loss_share', [0.2, 0.5])
def test_lost_alerts_waste_no_more_sends_than_without(loss_share):
    fleet, _ = run_simulated(simulate_crash(loss_share=loss_share))
    alone, _ = run_simulated(simulate_crash(has_alerts=False))
    assert len(fleet.wasted) < len(alone.wasted)


def test_machine_without_power_is_left_out_by_all():
    # Connecting times out, which other data centres accept only after two
    # have reported it.
    async def check():
        fleet = AlertingFleet()
        entry = fleet.entries[0]
        fleet.dark.add(entry)
        loop = asyncio.get_running_loop()
        senders = asyncio.ensure_future(fleet.run_until(2))
        while not fleet.wasted:
            await asyncio.sleep(0.01)
        detected_at = loop.time()
        while fleet.count_excluding(entry) < len(fleet.names):
            await asyncio.sleep(0.01)
        took_s = loop.time() - detected_at
        await senders
        return took_s

    assert run_simulated(check()) < BOUND_S


def test_wrong_alert_is_refuted_by_a_probe():
    # One instance gets a reset by its own machine and reports the endpoint.
    async def check():
        fleet = AlertingFleet()
        entry = fleet.entries[0]
        fleet.instances['a0'].endpoints.record_unreachable(
            entry, ConnectionRefusedError()
        )
        excluded = []
        for _ in range(50):
            await asyncio.sleep(0.01)
            excluded.append(fleet.count_excluding(entry))
        return excluded

    excluded = run_simulated(check())
    assert max(excluded) > 12
    # The instance itself waits for its own probe.
    assert excluded[-1] <= 1


def test_partitioned_data_centre_alerts_only_itself():
    # To data centre c, all endpoints of the others look dark. The others serve
    # them, and must not leave out any.
    async def check():
        fleet = AlertingFleet()
        for place in 'ab':
            fleet.cuts |= {(place, 'c'), ('c', place)}
        await fleet.run_until(2)
        return [
            (instance.name, entry.name)
            for instance in fleet.instances.values()
            for entry in fleet.entries
            if instance.is_excluded(entry)
            and instance.name[0] != 'c'
            and entry.data_centre != 'c'
        ]

    assert not run_simulated(check())
