"""Soak test: ``python -m verbenahall_standins.soak SEED [COUNT] [SECONDS]``.

``--instances N`` runs more instances than usual; from eleven on, schedulers
assign the engines. ``--scenario silent-engines`` lets sound engines be silent
after each change, in place of all kinds of faults; ``store-returns`` adds a
store that returns from older copies, and with ``leaving-endpoints`` endpoints
leave in all ways beside restarts, changes and a store that refuses some.

Prints a line for each seed with the violations found, and then keeps the logs
of its instances in ``reports/soak-SEED``. A seed always draws the same faults;
their effects also depend on the machine's timing.
"""

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from verbenahall_standins.soak import Scenario, run_soak

_SECONDS: Final = 20.0
#: Interval at which it is measured whether this process stands still, in
#: seconds.
_WATCH_S: Final = 0.05
_REPORTS: Final = Path('reports')
#: Number of instances, and of seeds with so many that run at a time.
_INSTANCES: Final = 3
_MAX_PARALLEL: Final = 3


async def watch_stalls(stalls: list[float]) -> None:
    """Add each time for which this process stood still, in seconds.

    It runs all stand-ins, so that their answers were late by as much.
    """
    while True:
        started = time.monotonic()
        await asyncio.sleep(_WATCH_S)
        stalls.append(time.monotonic() - started - _WATCH_S)


async def run_seed(
    seed: int,
    seconds: float,
    instances: int,
    scenario: Scenario,
    slots: asyncio.Semaphore,
    stalls: list[float],
) -> bool:
    """Run a seed in a free slot; return whether it had no violation."""
    async with slots:
        first = len(stalls)
        with tempfile.TemporaryDirectory() as folder:
            try:
                violations = await run_soak(
                    seed, seconds, Path(folder), instances, scenario
                )
            except (ExceptionGroup, RuntimeError, TimeoutError) as error:
                # The logs of a run that did not come to its end are kept, too.
                violations = [f'the run failed: {error!r}']
            if violations:
                kept = _REPORTS / f'soak-{seed}'
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    longest_s = max(stalls[first:], default=0)
    stalled = f'the stand-ins stood still up to {longest_s:.1f} s'
    described = [*violations, stalled] if violations else ['no violations']
    outcome = '\n  '.join(described)
    sys.stdout.write(f'seed {seed}: {outcome}\n')
    sys.stdout.flush()
    return not violations


async def run_seeds(
    first: int,
    count: int,
    seconds: float,
    instances: int,
    scenario: Scenario = Scenario.ANY_FAULTS,
) -> int:
    """Run seeds, a few in parallel; return how many had violations."""
    parallel = max(1, _MAX_PARALLEL * _INSTANCES // instances)
    slots = asyncio.Semaphore(parallel)
    seeds = range(first, first + count)
    stalls: list[float] = []
    watching = asyncio.create_task(watch_stalls(stalls))
    runs = (
        run_seed(seed, seconds, instances, scenario, slots, stalls)
        for seed in seeds
    )
    results = await asyncio.gather(*runs)
    watching.cancel()
    return results.count(False)


def main() -> int:
    """Run the seeds given on the command line; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument('first', type=int)
    parser.add_argument('count', type=int, nargs='?', default=1)
    parser.add_argument('seconds', type=float, nargs='?', default=_SECONDS)
    parser.add_argument('--instances', type=int, default=_INSTANCES)
    parser.add_argument(
        '--scenario', type=Scenario, default=Scenario.ANY_FAULTS
    )
    arguments = parser.parse_args()
    runs = run_seeds(
        arguments.first,
        arguments.count,
        arguments.seconds,
        arguments.instances,
        arguments.scenario,
    )
    # SIGTERM ends the instances, too; they would go on calling addresses that
    # the next soak may use.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    violations = asyncio.run(runs)
    sys.stdout.write(
        f'{violations} of {arguments.count} seeds had violations\n'
    )
    return int(violations > 0)


if __name__ == '__main__':
    sys.exit(main())
