"""The store comes back from an older copy; is a later manifest in force?"""

import asyncio
import collections
import os
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
from store import DrillStore
from verbenahall_standins.platform import make_route
from workers import PlainWorker

INSTANCES = 8
WORKERS = 3
#: Versions of the manifest that the store loses, and the time between two.
LOST = int(os.environ.get('LOST', '4'))
CHANGE_S = 0.33
#: How long the store is away, in seconds.
AWAY_S = float(os.environ.get('AWAY_S', '0.05'))
#: Time from the drill to the next version: longer than ``stableMs`` and
#: ``outerMs`` together.
CALM_S = 9
#: ``configApplyMs``, and how long requests are sent after it, in seconds.
APPLY_S = 2
CHECK_S = int(os.environ.get('CHECK_S', '10'))
#: Interval at which each worker writes its entry (heartbeatMs), in seconds.
BEAT_S = 1.2


async def write_entries(site, workers):
    """Let the workers write their entries."""
    while True:
        for worker in workers:
            site.list_endpoint(worker)
            await asyncio.sleep(BEAT_S / len(workers))


async def send(instance, path, identity, record):
    record.write('sent', request=identity, instance=instance.name, path=path)
    request = build_request(path, identity, method='GET')
    answer = await exchange(instance.front, request, 4)
    record.write('answered', request=identity, status=answer.status)
    return answer.status


def publish(site, record, added=()):
    """Publish a version of the manifest with the routes ``added``."""
    site.publish(added=[make_route(one, 'idempotent', 'pages') for one in added])
    record.write(
        'confirmed',
        version=site.version,
        offset=site.store.get_end('keyed.op') - 1,
        era=site.store.era,
    )


async def run(record, folder):
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    workers = [
        PlainWorker(f'w-{number}', 'pages', record)
        for number in range(WORKERS)
    ]
    site = Site()
    site.store = DrillStore()
    instances = []
    beats = None
    try:
        await site.start()
        for worker in workers:
            await worker.start()
            site.list_endpoint(worker)
        beats = asyncio.create_task(write_entries(site, workers))
        for number in range(INSTANCES):
            one = Instance(folder, site.store.address, f'front-{number}')
            instances.append(one)
            await one.start()
        await asyncio.gather(*(one.wait_until_ready() for one in instances))
        await asyncio.sleep(6)
        copy = site.store.make_copy()
        record.write('copy', end=site.store.get_end('keyed.op'))
        for _ in range(LOST):
            await asyncio.sleep(CHANGE_S)
            publish(site, record)
        await asyncio.sleep(0.7)
        if has_trouble:
            record.write('drill', away_s=AWAY_S)
            await site.store.drill(AWAY_S, copy)
            # What the operator and the workers wrote is written again.
            site.version -= 1
            publish(site, record)
            for worker in workers:
                site.list_endpoint(worker)
        await asyncio.sleep(CALM_S)
        publish(site, record, ['/added/'])
        await asyncio.sleep(APPLY_S + 0.1)
        statuses = collections.defaultdict(collections.Counter)
        for number in range(CHECK_S):
            for one in instances:
                identity = f'{one.name}-{number}'
                status = await send(one, '/added/x', identity, record)
                statuses[one.name][status] += 1
            await asyncio.sleep(1)
        summary = {
            name: {str(status): count for status, count in found.items()}
            for name, found in sorted(statuses.items())
        }
        broken = sum(found[404] for found in statuses.values())
        record.write('summary', statuses=summary, broken=broken)
        print(broken, summary)
        if not any(found[200] for found in statuses.values()):
            raise RuntimeError('no instance has the new version')
        return broken
    finally:
        if beats is not None:
            beats.cancel()
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
