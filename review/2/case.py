"""Workers repeat a few of their answers late; do requests run once at most?"""

import asyncio
import collections
import os
import random
import sys
import tempfile
import traceback

from harness import (
    BROKEN,
    HELD,
    NOT_RUN,
    Instance,
    Record,
    Site,
    build_request,
    exchange,
)
from verbenahall_standins.platform import make_manifest, make_route
from workers import ModelWorker

#: Share of the answers that are doubled.
DOUBLED = float(os.environ.get('DOUBLED', '0.03'))
SERVICES = int(os.environ.get('SERVICES', '4'))
INSTANCES = int(os.environ.get('INSTANCES', '8'))
SLOTS = int(os.environ.get('SLOTS', '3'))
RUN_S = float(os.environ.get('RUN_S', '0.03'))
#: Time from an instance to a worker in another zone, in seconds.
ONE_WAY_S = float(os.environ.get('ONE_WAY_S', '0.0014'))
#: Requests a second to each service, and for how many seconds.
RATE = float(os.environ.get('RATE', '70'))
FOR_S = float(os.environ.get('FOR_S', '85'))
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
HEADERS = (
    'X-Verbenahall-Model: m',
    'X-Verbenahall-Token-Count: 2890,5',
    'X-Verbenahall-Prompt-Prefix: aa:2520,bb:370',
)


def build_manifest():
    """Return the fields of a manifest with one route for each service."""
    base = make_manifest(1)
    engine = {**base['services'][0]['engine'], 'slots': SLOTS}
    names = [f'drafter-{number}' for number in range(SERVICES)]
    return {
        'routes': [
            make_route(f'/{name}/', 'stream', name, maxAttempts=1)
            for name in names
        ],
        'services': [
            {**base['services'][0], 'name': name, 'engine': engine}
            for name in names
        ],
    }


async def send_all(instances, service, record, answers):
    """Send requests at random times; callers wait for each answer."""
    loop = asyncio.get_running_loop()
    end = loop.time() + FOR_S
    tasks = []
    while loop.time() < end:
        identity = f'{service}-{len(tasks)}'
        instance = random.choice(instances)
        tasks.append(
            asyncio.create_task(
                send(instance, service, identity, record, answers)
            )
        )
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*tasks)


async def send(instance, service, identity, record, answers):
    record.write('sent', request=identity, instance=instance.name)
    request = build_request(
        f'/{service}/x', identity, body=b'prompt', extra=HEADERS
    )
    answer = await exchange(instance.front, request, 4)
    answers[identity] = answer
    record.write(
        'answered', request=identity, status=answer.status, error=answer.error
    )


def judge(workers, answers, record):
    """Return the broken rules, one line each."""
    runs = collections.Counter(
        identity for worker in workers for identity in worker.runs
    )
    found = [
        f'TWICE: {identity} ran {count} times'
        for identity, count in runs.items()
        if count > 1
    ]
    found += [
        f'REFUSED: {identity} was answered {answer.status} and has run'
        for identity, answer in answers.items()
        if answer.status in PROMISES and runs[identity]
    ]
    statuses = collections.Counter(one.status for one in answers.values())
    summary = {
        'statuses': {str(key): count for key, count in statuses.items()},
        'refusals': sum(len(worker.refusals) for worker in workers),
        'doubled': sum(worker.doubled for worker in workers),
        'broken': found,
    }
    record.write('summary', **summary)
    print(summary)
    return found


async def run(record, folder):
    share = DOUBLED if os.environ.get('TROUBLE', '1') != '0' else 0
    workers = [
        ModelWorker(
            f'w-{number}',
            f'drafter-{number}',
            SLOTS,
            RUN_S,
            ONE_WAY_S,
            share,
            number,
            record,
        )
        for number in range(SERVICES)
    ]
    site = Site(manifest=build_manifest())
    instances = []
    try:
        await site.start()
        for worker in workers:
            await worker.start()
            site.list_endpoint(worker, service=worker.service, slots=SLOTS)
        for number in range(INSTANCES):
            one = Instance(folder, site.store.address, f'front-{number}')
            instances.append(one)
            await one.start()
        await asyncio.gather(*(one.wait_until_ready() for one in instances))
        await asyncio.sleep(2)
        answers = {}
        await asyncio.gather(
            *(
                send_all(instances, worker.service, record, answers)
                for worker in workers
            )
        )
        await asyncio.sleep(1)
        if not any(one.status == 200 for one in answers.values()):
            raise RuntimeError('no request was served')
        return judge(workers, answers, record)
    finally:
        for one in instances:
            await one.stop()
        for worker in workers:
            await worker.stop()
        await site.stop()


async def main():
    record = Record('.')
    try:
        with tempfile.TemporaryDirectory() as folder:
            return BROKEN if await run(record, folder) else HELD
    except Exception:
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()


sys.exit(asyncio.run(main()))
