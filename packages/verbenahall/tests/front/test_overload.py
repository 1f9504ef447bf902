"""More requests than the engines can serve, and engines that fail."""

import asyncio
import collections
import json

import pytest

from verbenahall.fleet import EndpointKind

WORK_S = 0.4
SLOTS = 4
#: Two engines with four slots serve so many requests a second.
CAPACITY = 2 * SLOTS / WORK_S
LAST_S = 6


def make_busy(fake):
    fakes = [fake('a'), fake('b')]
    for engine in fakes:
        engine.work_s = WORK_S
    return fakes


async def time_post(on, priority, clock):
    began = clock()
    headers = {'X-Priority': str(priority), 'X-Deadline-Ms': '5000'}
    status, told, body = await on.post(headers=headers)
    return status, clock() - began, told, json.loads(body)


async def time_flags(on, count):
    clock = asyncio.get_running_loop().time
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(time_post(on, 0, clock)))
        await asyncio.sleep(LAST_S / count)
    return await asyncio.gather(*tasks)


async def offer(on, rate):
    """Send priorities 1 to 3 in turn at a rate."""
    clock = asyncio.get_running_loop().time
    began = clock()
    tasks = []
    while clock() < began + LAST_S:
        due = int((clock() - began) * rate)
        for _ in range(due - len(tasks)):
            priority = len(tasks) % 3 + 1
            tasks.append(asyncio.create_task(time_post(on, priority, clock)))
        await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


def test_flags_stay_prompt_at_three_times_overload(stage, fake):
    """Three times as many requests come as the engines can serve. An
    inspector's flag must be answered as if the fleet were idle, higher
    priorities must be served before lower ones, and who is given up must
    hear so at once, with the time after which to come back.
    """

    async def run():
        limits = {'in_flight_per_engine': SLOTS, 'queue_per_priority': 40}
        async with stage(make_busy(fake), **limits) as idle:
            async with stage(make_busy(fake), **limits) as loaded:
                # At the same time, so that a busy machine slows both alike.
                return await asyncio.gather(
                    time_flags(idle, 40),
                    time_flags(loaded, 40),
                    offer(loaded, 3 * CAPACITY),
                )

    idle, loaded, others = asyncio.run(run())
    assert {row[0] for row in loaded} == {200}
    slowest_idle = max(row[1] for row in idle)
    slowest = max(row[1] for row in loaded)
    assert slowest <= 1.5 * slowest_idle, (slowest, slowest_idle)
    served = collections.Counter()
    waits = []
    for number, (status, seconds, told, body) in enumerate(others):
        served[number % 3 + 1] += status == 200
        if status == 429:
            waits.append(seconds)
            assert body['error']['ran'] == 'no'
            assert int(told['Retry-After']) >= 1
    # Only those queued before the rate was known may wait on.
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
    ('failing', 'most_attempts', 'least_answered'),
    ((3, 1.3, 1.0), (9, 1.3, 0)),
)
def test_retries_do_not_push_the_fleet_over(
    stage,
    fake,
    failing,
    most_attempts,
    least_answered,
):
    """A third of nine engines, or all of them, begin each request and fail.
    Callers are answered by the others; where there are none, the fleet must
    not get each request four times.
    """
    count = 600

    async def run():
        fakes = [
            fake(f'e{number}', fail if number < failing else None)
            for number in range(9)
        ]
        for engine in fakes:
            engine.work_s = 0.02
        async with stage(fakes) as on:
            gate = asyncio.Semaphore(30)

            async def post():
                async with gate:
                    return (await on.post())[0]

            told = await asyncio.gather(*[post() for _ in range(count)])
        return told.count(200), count_starts(fakes)

    answered, starts = asyncio.run(run())
    assert starts <= most_attempts * count
    assert answered >= least_answered * count


def test_one_workspace_cannot_take_the_whole_queue(stage, fake):
    """A script floods its workspace. A caller of another workspace still
    gets its turn next, while the flood hears that its own quota is used up.
    """

    async def run():
        limits = {'in_flight_per_engine': 1, 'queue_per_workspace': 5}
        async with stage(make_busy(fake), EndpointKind.ENGINE, **limits) as on:
            flood = [
                asyncio.create_task(on.post(headers={'X-Workspace': 'loud'}))
                for _ in range(20)
            ]
            await asyncio.sleep(0.05)
            clock = asyncio.get_running_loop().time
            _, seconds, _, _ = await time_post(on, 2, clock)
            return seconds, await asyncio.gather(*flood)

    seconds, flood = asyncio.run(run())
    kinds = collections.Counter(
        json.loads(body).get('error', {}).get('kind') for _, _, body in flood
    )
    assert kinds == {None: 7, 'quota_exceeded': 13}
    assert seconds < 4 * WORK_S
