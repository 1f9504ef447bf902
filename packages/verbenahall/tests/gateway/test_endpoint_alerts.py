"""Instances alert each other of endpoints that one does not reach."""

import asyncio

from verbenahall import metrics

from .conftest import make_plain, run, run_gateway
from .test_repeated_crashes import run_gateways

#: All instances leave an endpoint out this long after its detection.
BOUND_S = 0.2


def is_excluded(harness, name):
    """Whether an instance sends nothing to an endpoint."""
    core = harness.gateway.core
    return not core.endpoint_health.is_reachable(name, core.now())


async def detect(harness, name):
    """Have one instance send until it has not reached an endpoint."""
    number = 0
    while not is_excluded(harness, name):
        number += 1
        await harness.send('/proof/1', f'r-{number}')


def test_all_instances_leave_out_an_endpoint_that_one_does_not_reach(tmp_path):
    # Each instance lost a send of its own, and a scheduler assigned an engine
    # that another instance knew to be down.
    async def check():
        plain = make_plain(4)
        async with run_gateways(tmp_path, plain=plain) as harnesses:
            await plain[0].stop()
            await detect(harnesses[0], 'page-0')
            await harnesses[0].wait_until(
                lambda: all(is_excluded(one, 'page-0') for one in harnesses),
                BOUND_S,
            )
            assert not is_excluded(harnesses[1], 'page-1')
            lines = harnesses[0].log_lines('endpoint_alert')
            assert {'sent', 'accepted'} <= {one['verdict'] for one in lines}

    run(check())


def test_instance_that_reaches_no_endpoint_sends_no_alert(tmp_path):
    # Most of a service is down: the instance cannot tell that from its own
    # path, and must not have the others leave out all of it.
    async def check():
        plain = make_plain(2)
        async with run_gateway(tmp_path, plain=plain) as harness:
            before = metrics.ENDPOINT_ALERTS.total('refused', 'sent')
            for one in plain:
                await one.stop()
            for number in range(3):
                await harness.send('/proof/1', f'r-{number}')
            await asyncio.sleep(0.1)
            assert metrics.ENDPOINT_ALERTS.total('refused', 'sent') == before

    run(check())
