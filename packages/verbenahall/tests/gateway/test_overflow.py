"""Instances know the pressure of the groups that they use."""

import pytest

from verbenahall.overflow import GroupStatus
from verbenahall.scheduling import _groups as groups

from .conftest import run
from .test_scheduling import PATH, run_gateways


@pytest.fixture(autouse=True)
def _large_fleet(monkeypatch):
    """Have three instances count as a large fleet."""
    monkeypatch.setattr(groups, '_MAX_DIRECT_PEERS', 0)


def find_status(harness):
    """Return what an instance knows of the only group."""
    line = harness.log_lines('scheduled')[-1]
    gateway = harness.gateway
    service = next(iter(gateway.scheduling.scheduler._states))[0]
    statuses = gateway.scheduling.scheduler_client._statuses
    return statuses.find(service, line['group'], gateway.core.now())


def test_answers_of_a_scheduler_state_its_pressure(tmp_path):
    # Without it an instance would send all prompts by prefix, however long the
    # queue of the group is.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            scheduler = harnesses[-1]
            await scheduler.send(PATH, 'r-1')
            status = find_status(scheduler)
            assert isinstance(status, GroupStatus)
            assert status.pressure < 1
            assert not scheduler.log_lines('overflow')

    run(check())
