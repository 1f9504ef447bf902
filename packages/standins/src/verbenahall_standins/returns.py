"""Counts the calls to the store after it has returned from an older copy.

``python -m verbenahall_standins.returns INSTANCES [ENDPOINTS]`` runs so many
instances as processes, in three data centres, and lists so many endpoints. It
prints the calls to the store in each second around a return, the whole reads
among them, and after how long all instances had the next manifest.
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Final

from verbenahall_standins.platform import PlainStandIn, Site, write_settings

_DATA_CENTRES: Final = ('aberystwyth', 'lampeter', 'cardigan')
#: All instances run once no topic was read whole for this long; they are waited
#: for so long at most, in seconds.
_CALM_S: Final = 5
_MAX_START_S: Final = 180
#: How long the store is away, and for how long calls are counted, in seconds.
_AWAY_S: Final = 0.05
_COUNTED_S: Final = 6
_CHANGES: Final = 4
_NEWEST: Final = '/-/log-newest'


@contextlib.asynccontextmanager
async def run_instances(
    folder: Path, store: str, count: int
) -> AsyncIterator[Sequence[Path]]:
    """Run instances; yield the files of their logs."""
    processes = []
    logs = []
    try:
        for number in range(count):
            name = f'front-{number}'
            path = write_settings(folder, store, name)
            zone = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            text = path.read_text().replace(
                'zone = "lampeter"', f'zone = "{zone}"'
            )
            path.write_text(text)
            logs.append(folder / f'{name}.log')
            with logs[-1].open('wb') as log:
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        '-m',
                        'verbenahall',
                        env={**os.environ, 'VERBENAHALL_CONFIG': str(path)},
                        stdout=log,
                        stderr=log,
                    )
                )
        yield logs
    finally:
        for started in processes:
            started.kill()
        await asyncio.gather(*(one.wait() for one in processes))


def find_times(logs: Sequence[Path], version: int) -> list[float]:
    """Return when each instance had a version of the manifest, by its log."""
    found = []
    for log in logs:
        lines = map(json.loads, log.read_text().splitlines())
        times = [
            line['at']
            for line in lines
            if line.get('event') == 'manifest' and line['version'] >= version
        ]
        found.extend(times[:1])
    return found


async def count_calls(site: Site, seconds: int) -> None:
    """Print the calls of each second."""
    for second in range(seconds):
        before = dict(site.store.calls)
        await asyncio.sleep(1)
        calls = {
            path: count - before.get(path, 0)
            for path, count in site.store.calls.items()
        }
        whole = calls.get(_NEWEST, 0)
        sys.stdout.write(
            f'second {second}: {sum(calls.values())} calls,'
            f' {whole} of them pages of whole reads\n'
        )


async def run(instances: int, endpoints: int) -> None:
    """Run the deployment and print its figures."""
    site = Site(plain=[PlainStandIn('page-0')])
    await site.start()
    for number in range(endpoints):
        listed = PlainStandIn(f'listed-{number}')
        listed.address = '127.0.0.1:9'
        site.list_endpoint(listed, service='other')
    with tempfile.TemporaryDirectory() as folder:
        async with run_instances(
            Path(folder), site.store.address, instances
        ) as logs:
            await _wait_calm(site)
            await _return_once(site, logs)
    await site.stop()


async def _wait_calm(site: Site) -> None:
    """Wait until the instances have read all topics."""
    calm_s = 0
    whole = 0
    async with asyncio.timeout(_MAX_START_S):
        while calm_s < _CALM_S or not whole:
            await asyncio.sleep(1)
            before = whole
            whole = site.store.calls.get(_NEWEST, 0)
            calm_s = calm_s + 1 if whole == before else 0


async def _return_once(site: Site, logs: Sequence[Path]) -> None:
    sys.stdout.write('before\n')
    await count_calls(site, 2)
    copy = site.store.take_copy()
    for _ in range(_CHANGES):
        site.publish()
        await asyncio.sleep(0.2)
    await asyncio.sleep(2)
    lost = site.store.take_copy()
    site.store.faults.reset = True
    await asyncio.sleep(_AWAY_S)
    site.store.return_from(copy)
    site.store.faults.reset = False
    sys.stdout.write('the store has returned\n')
    counting = asyncio.create_task(count_calls(site, _COUNTED_S))
    await asyncio.sleep(0.1)
    site.store.write_again(lost)
    await asyncio.sleep(2)
    site.publish()
    published_at = time.time()
    await counting
    times = find_times(logs, site.version)
    longest_s = max(times, default=published_at) - published_at
    sys.stdout.write(
        f'{len(times)} of {len(logs)} instances have the next manifest,'
        f' the last after {longest_s:.2f} s\n'
    )


def main() -> None:
    """Read the arguments and run."""
    instances, *others = map(int, sys.argv[1:])
    asyncio.run(run(instances, others[0] if others else 0))


if __name__ == '__main__':
    main()
