"""The store comes back from an older copy; do two holders share a number?"""

import asyncio
import os
import sys
import tempfile
import traceback

from harness import BROKEN, HELD, NOT_RUN, Instance, Record, Site
from store import DrillStore
from verbenahall_standins.platform import EngineStandIn

INSTANCES = 4
ENGINES = 3
#: How long the store is away, in seconds.
AWAY_S = 1.0
#: Interval at which each worker writes its entry (heartbeatMs), in seconds.
BEAT_S = 1.2
#: Interval of the store's copies, and the time from the first order to the
#: drill, in seconds.
COPY_S = 0.5
DRILL_AFTER_S = 1.5
#: Time from the drill to the removal of a machine, from that to the leaving of
#: a worker, and for which orders are watched then, in seconds.
CALM_S = 6
REMOVED_S = 2
WATCH_S = 20
#: How long a worker still serves after it has said that it leaves, in seconds.
LEAVING_S = 2.5
_START_S = 30


async def write_entries(site, engines, gone):
    """Let the workers write their entries."""
    while True:
        for engine in engines:
            if engine.name not in gone:
                site.list_endpoint(engine, state=engine.state)
            await asyncio.sleep(BEAT_S / len(engines))


async def copy_until_ordered(site, engines):
    """Copy the store at intervals; return the last copy before an order."""
    loop = asyncio.get_running_loop()
    copies = []
    end = loop.time() + _START_S
    while not any(engine.orders for engine in engines):
        if loop.time() > end:
            raise RuntimeError('no worker was ordered')
        copies.append((loop.time(), site.store.make_copy()))
        await asyncio.sleep(COPY_S)
    # The last copy but one is older than the lease of the order.
    return copies[-2]


async def drill(site, engines, copy, record):
    """Let the store come back from a copy; all writes but ours come again."""
    copied_at, content = copy
    age_s = asyncio.get_running_loop().time() - copied_at
    record.write('drill', away_s=AWAY_S, copy_age_s=round(age_s, 1))
    await site.store.drill(AWAY_S, content)
    site.version -= 1
    site.publish()
    for engine in engines:
        site.list_endpoint(engine, state=engine.state)


async def remove(instance, record):
    """Remove a machine for good, with SIGTERM."""
    record.write('sigterm', instance=instance.name)
    instance.process.terminate()
    async with asyncio.timeout(_START_S):
        await instance.process.wait()
    record.write('ended', instance=instance.name)


async def leave(site, engine, gone, record):
    """Let a worker leave."""
    record.write('leaves', engine=engine.name)
    engine.state = 'draining'
    site.list_endpoint(engine, state=engine.state)
    await asyncio.sleep(LEAVING_S)
    gone.add(engine.name)
    site.unlist(engine.name)


def judge(engines, record):
    """Return the broken rules: two machines with one number at a worker."""
    found = []
    for engine in engines:
        holders = {}
        for order in engine.orders:
            machine = order['holder'].rpartition('-')[0]
            record.write(
                'ordered',
                engine=engine.name,
                machine=machine,
                holder=order['holder'],
                fence=order['fence'],
                stage=order['stage'],
                loop_at=round(order['at'], 3),
            )
            other = holders.setdefault(order['fence'], machine)
            if other != machine:
                found.append(
                    f'ONE: {engine.name} got the fence number '
                    f'{order["fence"]} from {other} and from {machine}'
                )
    record.write('summary', broken=found)
    print(found)
    return found


async def run(record, folder):
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    engines = [
        EngineStandIn(f'e-{number}', 'decode') for number in range(ENGINES)
    ]
    site = Site(engines)
    site.store = DrillStore()
    instances = {}
    gone = set()
    writing = None
    try:
        await site.start()
        writing = asyncio.create_task(write_entries(site, engines, gone))
        for number in range(INSTANCES):
            one = Instance(folder, site.store.address, f'front-{number}')
            instances[one.name] = one
            await one.start()
        copy = await copy_until_ordered(site, engines)
        await asyncio.sleep(DRILL_AFTER_S)
        ordered = next(engine for engine in engines if engine.orders)
        machine = ordered.orders[0]['holder'].rpartition('-')[0]
        if has_trouble:
            await drill(site, engines, copy, record)
        await asyncio.sleep(CALM_S)
        await remove(instances[machine], record)
        await asyncio.sleep(REMOVED_S)
        # Without it, one that was ordered to prefill has to decode again.
        decoding = next(one for one in engines if one.role == 'decode')
        await leave(site, decoding, gone, record)
        await asyncio.sleep(WATCH_S)
        if not any(len(engine.orders) > 1 for engine in engines):
            raise RuntimeError('no worker was ordered twice')
        return judge(engines, record)
    finally:
        if writing is not None:
            writing.cancel()
        for one in instances.values():
            await one.stop()
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
