"""An overloaded endpoint advertises the rate that it accepts in total."""

import asyncio
import time

from .conftest import make_plain, run
from .test_repeated_crashes import run_gateways

RATE = 2.5
#: Length of the window in which arrivals are counted, in seconds.
WINDOW_S = 4
#: Arrivals that are allowed in a window in addition to the rate's.
SLACK = 5
MAX_ARRIVALS = 1.5 * RATE * WINDOW_S + SLACK


async def send_until(harnesses, end, every_s=0.02):
    """Send to all instances in turn until a time; return the statuses."""
    tasks = []
    while time.monotonic() < end:
        number = len(tasks)
        harness = harnesses[number % len(harnesses)]
        request = harness.send('/archive/1', f'r-{number}', method='GET')
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(every_s)
    responses = await asyncio.gather(*tasks)
    return [status for status, _, _ in responses]


def count_max_arrivals(arrivals, since):
    """Return the most arrivals in one window after a time."""
    late = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= one < at + WINDOW_S for one in late) for at in late),
        default=0,
    )


async def send_while_limited(harnesses, endpoint, seconds):
    """Send while an endpoint advertises a rate.

    Return the most arrivals in one window, and the statuses.
    """
    endpoint.rate = str(RATE)
    await send_until(harnesses, time.monotonic() + 1)
    since = time.monotonic() + 0.5
    statuses = await send_until(harnesses, since + seconds)
    return count_max_arrivals(endpoint.arrivals, since), statuses


def test_all_instances_together_keep_an_advertised_rate(tmp_path):
    """If each instance kept the rate alone, the total would exceed it."""

    async def check():
        async with run_gateways(tmp_path, plain=make_plain(3)) as harnesses:
            limited = harnesses[0].site.plain[0]
            max_arrivals, statuses = await send_while_limited(
                harnesses, limited, 6
            )
            assert max_arrivals <= MAX_ARRIVALS
            assert set(statuses) == {200}

    run(check())


def test_end_of_an_advertised_rate_is_detected(tmp_path):
    """An endpoint that no longer advertises a rate must not be left idle."""

    async def check():
        async with run_gateways(tmp_path, plain=make_plain(3)) as harnesses:
            limited = harnesses[0].site.plain[0]
            await send_while_limited(harnesses, limited, 2)
            limited.rate = None
            await send_until(harnesses, time.monotonic() + 2)
            before = len(limited.arrivals)
            await send_until(harnesses, time.monotonic() + 2)
            assert len(limited.arrivals) - before > 2 * RATE * 2

    run(check())
