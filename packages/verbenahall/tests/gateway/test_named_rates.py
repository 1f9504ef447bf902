"""An endpoint in need names the rate that it takes from all instances."""

import asyncio
import time

from .conftest import make_plain, run
from .test_repeated_crashes import open_desks

RATE = 2.5
#: What may arrive in any so many seconds, beside a few.
WINDOW_S = 4
SLACK = 5
MOST = 1.5 * RATE * WINDOW_S + SLACK


async def ask_until(desks, end, every_s=0.02):
    """Ask at all instances in turn until a time; return the statuses."""
    tasks = []
    while time.monotonic() < end:
        number = len(tasks)
        desk = desks[number % len(desks)]
        ask = desk.ask('/archive/1', f'r-{number}', method='GET')
        tasks.append(asyncio.create_task(ask))
        await asyncio.sleep(every_s)
    answers = await asyncio.gather(*tasks)
    return [status for status, _, _ in answers]


def count_most(arrivals, since):
    """Return the most arrivals in one window, from a time on."""
    late = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= one < at + WINDOW_S for one in late) for at in late),
        default=0,
    )


async def ask_limited(desks, endpoint, seconds):
    """Ask while an endpoint names a rate; return most arrivals, statuses."""
    endpoint.rate = str(RATE)
    await ask_until(desks, time.monotonic() + 1)
    since = time.monotonic() + 0.5
    statuses = await ask_until(desks, since + seconds)
    return count_most(endpoint.arrivals, since), statuses


def test_all_instances_keep_a_named_rate_together(tmp_path):
    """Each one that keeps the rate by itself sends as much as all may."""

    async def check():
        async with open_desks(tmp_path, plain=make_plain(3)) as desks:
            limited = desks[0].site.plain[0]
            most, statuses = await ask_limited(desks, limited, 6)
            assert most <= MOST
            assert set(statuses) == {200}

    run(check())


def test_end_of_a_named_rate_is_noticed(tmp_path):
    """An endpoint that needs no rate any more is left idle."""

    async def check():
        async with open_desks(tmp_path, plain=make_plain(3)) as desks:
            limited = desks[0].site.plain[0]
            await ask_limited(desks, limited, 2)
            limited.rate = None
            await ask_until(desks, time.monotonic() + 2)
            before = len(limited.arrivals)
            await ask_until(desks, time.monotonic() + 2)
            assert len(limited.arrivals) - before > 2 * RATE * 2

    run(check())
