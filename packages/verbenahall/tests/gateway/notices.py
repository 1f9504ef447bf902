"""Checks of what reaches endpoints that leave or have requested a backoff."""

import asyncio
import time

#: After a notice of leaving, requests may arrive for this long, in seconds.
LEAVING_BOUND_S = 2.0
#: After a requested backoff, requests may arrive for this long, in seconds, and
#: then this many until its end.
BACKOFF_SLACK_S = 0.5
MAX_ARRIVALS = 2


async def send_every(harness, paths, seconds, every_s=0.05):
    """Send requests by several paths for some time; return the answers."""
    tasks = []
    for number in range(round(seconds / every_s)):
        path = paths[number % len(paths)]
        method = 'GET' if path.startswith('/archive') else 'POST'
        sending = harness.send(path, f'r-{number}', method=method)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(every_s)
    return await asyncio.gather(*tasks)


async def send_until(harness, path, condition, within_s=5):
    """Send requests, one after the other, until a condition holds.

    Which of two idle endpoints gets a request is random, so no number of
    requests is sure to reach both. Return the statuses.
    """
    statuses = []
    end = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < end, 'condition not met in time'
        status, _, _ = await harness.send(path, f'u-{len(statuses)}')
        statuses.append(status)
    return statuses


async def send_until_arrival(harness, endpoint, within_s=5):
    """Begin requests until one arrives at an endpoint; return their tasks."""
    tasks = []
    end = time.monotonic() + within_s
    while not endpoint.notices.arrivals:
        assert time.monotonic() < end, 'no arrival in time'
        sending = harness.send('/archive/1', f's-{len(tasks)}')
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(0.02)
    return tasks


def list_late_arrivals(endpoint):
    """Return the requests that arrived too long after a notice of leaving."""
    told_at = [one.at for one in endpoint.notices.sent if one.leaving]
    if not told_at:
        return []
    return [
        one
        for one in endpoint.notices.arrivals
        if one.at > told_at[0] + LEAVING_BOUND_S
    ]


def count_arrivals_in_backoff(endpoint):
    """Return the most requests within one requested backoff."""
    return max(
        (
            sum(
                notice.at + BACKOFF_SLACK_S
                < one.at
                < notice.at + notice.backoff_s
                for one in endpoint.notices.arrivals
            )
            for notice in endpoint.notices.sent
        ),
        default=0,
    )
