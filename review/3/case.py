"""Callers send compressed bodies; do workers get the bodies as they were sent?"""

import asyncio
import gzip
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
from workers import PlainWorker

REQUESTS = 60
INSTANCES = 3
WORKERS = 3


async def send(instance, number, is_compressed, record, sent):
    """Send one request and record its answer."""
    text = f'proof {number}, '.encode() * 40
    identity = f'r-{number}'
    body = gzip.compress(text, mtime=0) if is_compressed else text
    extra = ('Content-Encoding: gzip',) if is_compressed else ()
    sent[identity] = body
    record.write(
        'sent', request=identity, body=body[:60].hex(), length=len(body)
    )
    request = build_request('/proof/x', identity, body=body, extra=extra)
    answer = await exchange(instance.front, request, 4)
    record.write(
        'answered', request=identity, status=answer.status, error=answer.error
    )
    return answer.status


def judge(workers, sent, statuses, record):
    """Return the broken rules, one line each."""
    runs = [
        (identity, request)
        for worker in workers
        for identity, requests in worker.runs.items()
        for request in requests
    ]
    found = []
    for identity, (method, path, _, body) in runs:
        if (method, path) != ('POST', '/proof/x'):
            found.append(f'UNASKED: {identity} was run as {method} {path}')
        if body != sent[identity]:
            found.append(
                f'UNASKED: {identity} was sent with {len(sent[identity])} '
                f'bytes and run with {len(body)} others'
            )
    summary = {
        'statuses': {str(one): statuses.count(one) for one in set(statuses)},
        'runs': len(runs),
        'broken': len(found),
        'first': found[:3],
    }
    record.write('summary', **summary)
    print(summary)
    return found


async def run(record, folder):
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    workers = [
        PlainWorker(f'w-{number}', 'pages', record)
        for number in range(WORKERS)
    ]
    site = Site()
    instances = []
    try:
        await site.start()
        for worker in workers:
            await worker.start()
            site.list_endpoint(worker)
        for number in range(INSTANCES):
            one = Instance(folder, site.store.address, f'front-{number}')
            instances.append(one)
            await one.start()
        await asyncio.gather(*(one.wait_until_ready() for one in instances))
        await asyncio.sleep(2)
        sent, statuses = {}, []
        for number in range(REQUESTS):
            # Every third body is compressed.
            is_compressed = has_trouble and number % 3 == 0
            instance = instances[number % INSTANCES]
            status = await send(instance, number, is_compressed, record, sent)
            statuses.append(status)
        if 200 not in statuses:
            raise RuntimeError('no request was served')
        return judge(workers, sent, statuses, record)
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
