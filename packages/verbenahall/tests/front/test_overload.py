"""More requests than the engines can serve, and failing engines."""

import asyncio
import collections
import json

import pytest

from verbenahall.fleet import EndpointKind

WORK_S = 0.4
SLOTS = 4
#: Requests per second that two engines with four slots each can serve.
CAPACITY = 2 * SLOTS / WORK_S
DURATION_S = 6


def make_slow_engines(fake):
    fakes = [fake('a'), fake('b')]
    for engine in fakes:
        engine.work_s = WORK_S
    return fakes


async def time_post(harness, priority, clock):
    began = clock()
    headers = {'X-Priority': str(priority), 'X-Deadline-Ms': '5000'}
    status, answer_headers, body = await harness.post(headers=headers)
    return status, clock() - began, answer_headers, json.loads(body)


async def time_flags(harness, count):
    clock = asyncio.get_running_loop().time
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(time_post(harness, 0, clock)))
        await asyncio.sleep(DURATION_S / count)
    return await asyncio.gather(*tasks)


async def send_at_rate(harness, rate):
    """Send requests of priorities 1 to 3 in turn, ``rate`` per second."""
    clock = asyncio.get_running_loop().time
    began = clock()
    tasks = []
    while clock() < began + DURATION_S:
        due = int((clock() - began) * rate)
        for _ in range(due - len(tasks)):
            priority = len(tasks) % 3 + 1
            tasks.append(
                asyncio.create_task(time_post(harness, priority, clock))
            )
        await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


def test_flags_stay_prompt_at_three_times_overload(run_front, fake):
    """Requests arrive at three times the capacity of the engines. Flags
    (priority 0) must be served as fast as on an idle fleet, higher priorities
    before lower ones, and a request that is shed must be rejected at once with
    a Retry-After header.
    """

    async def run():
        limits = {'in_flight_per_engine': SLOTS, 'queue_per_priority': 40}
        async with run_front(make_slow_engines(fake), **limits) as idle:
            async with run_front(make_slow_engines(fake), **limits) as loaded:
                # At the same time, so that a busy machine slows both equally.
                return await asyncio.gather(
                    time_flags(idle, 40),
                    time_flags(loaded, 40),
                    send_at_rate(loaded, 3 * CAPACITY),
                )

    idle, loaded, others = asyncio.run(run())
    assert {answer[0] for answer in loaded} == {200}
    slowest_idle = max(answer[1] for answer in idle)
    slowest = max(answer[1] for answer in loaded)
    assert slowest <= 1.5 * slowest_idle, (slowest, slowest_idle)
    served = collections.Counter()
    waits = []
    for number, (status, seconds, headers, body) in enumerate(others):
        served[number % 3 + 1] += status == 200
        if status == 429:
            waits.append(seconds)
            assert body['error']['ran'] == 'no'
            assert int(headers['Retry-After']) >= 1
    # Only requests queued before the service rate was known may wait longer.
    assert sorted(waits)[len(waits) * 9 // 10] < 1
    assert max(waits) < 5
    assert served[1] >= 0.9 * len(others) / 3
    assert served[1] > served[2]
    assert served[2] >= served[3]


def fail(number):
    return 'error'


def count_starts(fakes):
    return sum(len(engine.started) for engine in fakes)


@pytest.mark.parametrize(
    ('failing', 'max_attempts', 'min_answered'),
    ((3, 1.3, 1.0), (9, 1.3, 0)),
)
def test_retries_do_not_push_the_fleet_over(
    run_front,
    fake,
    failing,
    max_attempts,
    min_answered,
):
    """Three of nine engines, or all of them, start each request and fail it.
    The other engines serve the requests. If all engines fail, retries must not
    multiply the load: without a budget each request would be sent four times.
    """
    count = 600

    async def run():
        fakes = [
            fake(f'e{number}', fail if number < failing else None)
            for number in range(9)
        ]
        for engine in fakes:
            engine.work_s = 0.02
        async with run_front(fakes) as harness:
            semaphore = asyncio.Semaphore(30)

            async def post():
                async with semaphore:
                    return (await harness.post())[0]

            statuses = await asyncio.gather(*[post() for _ in range(count)])
        return statuses.count(200), count_starts(fakes)

    answered, starts = asyncio.run(run())
    assert starts <= max_attempts * count
    assert answered >= min_answered * count


def test_one_workspace_cannot_take_the_whole_queue(run_front, fake):
    """A script floods its workspace. Its excess requests are rejected with
    quota_exceeded, and a caller of another workspace is served next.
    """

    async def run():
        limits = {'in_flight_per_engine': 1, 'queue_per_workspace': 5}
        async with run_front(
            make_slow_engines(fake), EndpointKind.ENGINE, **limits
        ) as harness:
            flood = [
                asyncio.create_task(
                    harness.post(headers={'X-Workspace': 'loud'})
                )
                for _ in range(20)
            ]
            await asyncio.sleep(0.05)
            clock = asyncio.get_running_loop().time
            _, seconds, _, _ = await time_post(harness, 2, clock)
            return seconds, await asyncio.gather(*flood)

    seconds, flood = asyncio.run(run())
    kinds = collections.Counter(
        json.loads(body).get('error', {}).get('kind') for _, _, body in flood
    )
    assert kinds == {None: 7, 'quota_exceeded': 13}
    assert seconds < 4 * WORK_S
